#ifndef HORNBEAMCLEAT_SRC_CONTROL_API_SERVER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_API_SERVER_H_

#include <memory>
#include <string>

#include "hornbeamcleat/base/settings.h"

namespace hornbeamcleat {

class ApiBackend;

/// Settings of the operators' API.
struct ApiOptions {
  Address listen;
  std::string token;  ///< required bearer token; empty disables authentication
  std::string certificate;  ///< PEM file; empty means no TLS
  std::string private_key;  ///< PEM file
  int max_threads = 32;     ///< each pending watch occupies one

  bool operator==(const ApiOptions&) const = default;
};

/// HTTP server of the operators' API (docs/PROTOCOLS.md), with its own threads.
class ApiServer {
 public:
  /// @param backend must outlive the server
  /// @throws Error with step "listen for operators"
  static std::unique_ptr<ApiServer> Make(const ApiOptions& options,
                                         ApiBackend* backend);

  /// Waits for requests in progress to finish.
  virtual ~ApiServer() = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_API_SERVER_H_
