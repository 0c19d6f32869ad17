#ifndef HORNBEAMCLEAT_SRC_CTL_CONTROL_CLIENT_H_
#define HORNBEAMCLEAT_SRC_CTL_CONTROL_CLIENT_H_

#include <string>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Where a control daemon listens and how to speak to it.
struct ControlServer {
  Address address;
  std::string token;  ///< bearer token; empty: none is sent
  bool tls = false;
  std::string ca_file;  ///< certificates trusted with TLS; empty: any
  Duration timeout = std::chrono::seconds(5);

  bool operator==(const ControlServer&) const = default;
};

/// HTTP answer of a control daemon.
struct ControlAnswer {
  int status = 0;
  std::string body;

  bool operator==(const ControlAnswer&) const = default;
};

/// Client of the resource API. Calls block.
class ControlClient {
 public:
  explicit ControlClient(ControlServer server);

  /// Makes one call.
  /// @param query  encoded query, or empty
  /// @param extra  time beyond the timeout that the server may take
  /// @throws Error with step "call control" if there was no answer
  ControlAnswer Call(const std::string& method, const std::string& path,
                     const std::string& query = "",
                     const std::string& body = "",
                     Duration extra = Duration(0)) const;

 private:
  ControlServer server_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CTL_CONTROL_CLIENT_H_
