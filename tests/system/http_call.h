#ifndef HORNBEAMCLEAT_TESTS_SYSTEM_HTTP_CALL_H_
#define HORNBEAMCLEAT_TESTS_SYSTEM_HTTP_CALL_H_

#include <atomic>
#include <map>
#include <string>

namespace hornbeamcleat {

/// Answer to a test's HTTP call. Status 0 means that none came whole.
struct HttpAnswer {
  int status = 0;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;  ///< what arrived, also of a broken answer
  bool whole = false;
};

/// Makes one call and waits up to 20 s for its end.
/// @param received if given, holds the number of body bytes so far
HttpAnswer CallHttp(const std::string& method, const std::string& url,
                    const std::map<std::string, std::string>& headers,
                    const std::string& body,
                    std::atomic<std::size_t>* received = nullptr);

/// GET without headers.
HttpAnswer GetHttp(const std::string& url);

/// Calls until the status is `status`, up to 30 s.
/// @return false if it never was
bool WaitForStatus(const std::string& url, int status);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_SYSTEM_HTTP_CALL_H_
