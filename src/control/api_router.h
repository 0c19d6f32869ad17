#ifndef HORNBEAMCLEAT_SRC_CONTROL_API_ROUTER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_API_ROUTER_H_

#include <string>

namespace hornbeamcleat {

class ApiBackend;

/// HTTP request to the API.
struct ApiRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string authorization;  ///< value of the Authorization header
  std::string body;
};

/// HTTP response of the API.
struct ApiResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;

  bool operator==(const ApiResponse&) const = default;
};

/// Handles one request. Thread-safe.
/// @param token expected bearer token; empty disables authentication
ApiResponse HandleApiRequest(const ApiRequest& call, const std::string& token,
                             ApiBackend* backend);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_API_ROUTER_H_
