#ifndef HORNBEAMCLEAT_SRC_RELAY_HTTP_CODEC_H_
#define HORNBEAMCLEAT_SRC_RELAY_HTTP_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/request_property.h"
#include "hornbeamcleat/serving/target_load_report.h"
#include "hornbeamcleat/serving/target_statement.h"
#include "src/relay/header_list.h"

namespace hornbeamcleat {

/// Request properties that the caller's headers state.
struct RequestInfo {
  std::string id;                      ///< of this attempt; empty if none
  std::optional<Duration> wait_limit;  ///< how long the caller waits
  std::string key;  ///< API key of the workspace; empty if none
  bool states_tokens = false;
  double quota_tokens = 0;  ///< cost under a quota that counts tokens
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t expected_output_tokens = 0;  ///< caller estimate; 0: none
  bool resumes = false;  ///< continues after an event that it names
  /// What the headers state that other requests can have in common.
  std::vector<RequestProperty> properties;

  bool operator==(const RequestInfo&) const = default;
};

/// Values that the scheduler adds to a request for its target.
struct DispatchInfo {
  std::string target_id;  ///< instance that the request is meant for
  std::string workspace;  ///< empty for a public route
  Duration time_left{0};
  std::string resume_after;  ///< event id; empty: keep the caller's header

  bool operator==(const DispatchInfo&) const = default;
};

/// Response properties that the target's headers state.
struct ResponseInfo {
  std::string id;             ///< of the request; may be empty
  bool is_signed = false;     ///< has the target's signature header
  bool not_executed = false;  ///< the target guarantees that it did not run it
  TargetStatement statement;  ///< of itself, whichever request it answers
  /// Absent if another target answered than the one that was meant.
  std::optional<TargetLoadReport> load;
  bool has_invalid_load = false;  ///< part of the report can't be read

  bool operator==(const ResponseInfo&) const = default;
};

/// Query for the addresses of VMs that a caller may use.
struct DirectoryQuery {
  std::string name;
  std::string failure_domain;
  std::string region;  ///< of the caller; may be empty

  bool operator==(const DirectoryQuery&) const = default;
};

/// Header names and formats of a deployment's HTTP traffic. Contains no
/// scheduling policy.
class HttpCodec {
 public:
  virtual ~HttpCodec() = default;

  virtual RequestInfo ParseRequestHeaders(const HeaderList& headers) const = 0;

  /// Headers for a target: the caller's, without those that only the scheduler
  /// may set, plus the scheduler's own.
  virtual HeaderList BuildRequestHeaders(const HeaderList& end_to_end,
                                         const DispatchInfo& facts) const = 0;

  virtual ResponseInfo ParseResponseHeaders(
      int status, const HeaderList& headers) const = 0;

  /// Headers of a response that the scheduler creates, without framing.
  virtual HeaderList BuildOwnResponseHeaders(
      const std::string& request_id,
      std::optional<Duration> retry_after) const = 0;

  /// Whether a request target on the readiness address is a readiness query.
  virtual bool IsReadinessQuery(std::string_view target) const = 0;

  /// Parses a request target on the directory address; nullopt if it is no
  /// directory query.
  virtual std::optional<DirectoryQuery> ParseDirectoryQuery(
      std::string_view target) const = 0;

  /// JSON response to a directory query.
  virtual std::string FormatDirectoryResponse(
      const std::vector<std::string>& addresses, Duration keep) const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HTTP_CODEC_H_
