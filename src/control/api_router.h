#ifndef HORNBEAMCLEAT_SRC_CONTROL_API_ROUTER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_API_ROUTER_H_

#include <string>

namespace hornbeamcleat {

class ApiBackend;

/// HTTP call as the API sees it.
struct ApiRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string authorization;  ///< value of the header of that name
  std::string body;
};

/// Answer to it.
struct ApiResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;

  bool operator==(const ApiResponse&) const = default;
};

/// Carries out one call. Thread-safe.
/// @param token expected bearer token; empty means that none is asked for
ApiResponse HandleApiRequest(const ApiRequest& call, const std::string& token,
                             ApiBackend* backend);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_API_ROUTER_H_
