#ifndef HORNBEAMCLEAT_SCHEDULE_REQUEST_H_
#define HORNBEAMCLEAT_SCHEDULE_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/request_property.h"

namespace hornbeamcleat {

/// Identifies a request end to end; unique across all entries.
using RequestId = std::string;

/// Name of a Target resource.
using TargetName = std::string;

/// Request as received from a caller. The scheduler looks up its tier, model
/// and idempotency in the configuration.
struct RequestSpec {
  RequestId id;
  std::string workspace;
  std::string application;
  std::string idempotency_key;  ///< empty if the caller sent none
  Time arrival;
  Time deadline;  ///< Time::max() means the tier's default
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;  ///< 0 means unspecified
  /// Chained hashes of the prompt's blocks, first block first.
  std::vector<std::uint64_t> prefix_blocks;
  /// What other requests can share with this one, the content first.
  std::vector<RequestProperty> properties;

  bool operator==(const RequestSpec&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_REQUEST_H_
