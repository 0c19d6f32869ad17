#ifndef HORNBEAMCLEAT_SRC_RELAY_HTTP_CODEC_H_
#define HORNBEAMCLEAT_SRC_RELAY_HTTP_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "src/relay/header_list.h"

namespace hornbeamcleat {

/// What a caller's headers say of a request.
struct RequestInfo {
  std::string id;  ///< of this attempt; empty if there is none
  std::optional<Duration> wait_limit;  ///< how long the caller waits
  std::string key;                     ///< of its workspace; empty if none
  bool states_tokens = false;
  double quota_tokens = 0;  ///< cost under a quota that counts tokens
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t expected_output_tokens = 0;  ///< the caller's guess; 0: none
  bool resumes = false;  ///< goes on after an event that it names

  bool operator==(const RequestInfo&) const = default;
};

/// What the scheduler tells a target along with a request.
struct DispatchInfo {
  std::string target_id;  ///< incarnation that the request is meant for
  std::string workspace;  ///< empty for a public route
  Duration time_left{0};
  std::string resume_after;  ///< event id; empty: as the caller sent it

  bool operator==(const DispatchInfo&) const = default;
};

/// What a target's headers say of its answer.
struct ResponseInfo {
  std::string id;             ///< of the request that it answers; may be empty
  bool is_signed = false;     ///< bears the target's mark of a real answer
  bool not_executed = false;  ///< the target promises that it did not run it

  bool operator==(const ResponseInfo&) const = default;
};

/// A caller's question for addresses.
struct DirectoryQuery {
  std::string name;
  std::string failure_domain;

  bool operator==(const DirectoryQuery&) const = default;
};

/// Names and formats of one deployment's HTTP traffic. Decides nothing.
class HttpCodec {
 public:
  virtual ~HttpCodec() = default;

  virtual RequestInfo ParseRequestHeaders(const HeaderList& headers) const = 0;

  /// Headers for a target: the caller's without those that only the scheduler
  /// may set, with the scheduler's own.
  virtual HeaderList BuildRequestHeaders(const HeaderList& end_to_end,
                                         const DispatchInfo& facts) const = 0;

  virtual ResponseInfo ParseResponseHeaders(
      int status, const HeaderList& headers) const = 0;

  /// Headers of an answer made by the scheduler itself, without framing.
  virtual HeaderList BuildOwnResponseHeaders(
      const std::string& request_id,
      std::optional<Duration> retry_after) const = 0;

  /// Whether a request on the readiness address asks for readiness.
  virtual bool IsReadinessQuery(std::string_view target) const = 0;

  /// Question on the directory's address, or nullopt if it is something else.
  virtual std::optional<DirectoryQuery> ParseDirectoryQuery(
      std::string_view target) const = 0;

  /// JSON answer to it.
  virtual std::string FormatDirectoryResponse(
      const std::vector<std::string>& addresses, Duration keep) const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HTTP_CODEC_H_
