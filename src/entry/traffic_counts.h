#ifndef HORNBEAMCLEAT_SRC_ENTRY_TRAFFIC_COUNTS_H_
#define HORNBEAMCLEAT_SRC_ENTRY_TRAFFIC_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "hornbeamcleat/schedule/outcome.h"

namespace hornbeamcleat {

/// Events that the traffic thread counts.
enum class TrafficEvent {
  kParts,             ///< parts sent to callers
  kDuplicateParts,    ///< duplicate parts dropped
  kPartGaps,          ///< streams closed because a part was missing
  kCrossedAnswers,    ///< answers with the id of another request
  kTruncatedStreams,  ///< streams that ended before their last part
  kOversizedAnswers,  ///< parts or non-streaming answers above the limit
  kSlowCallers,       ///< callers dropped because their buffer was full
  kGoneCallers,       ///< callers that disconnected before the answer ended
  kCallerResumes,     ///< answers resumed with a handle
  kBadHandles,        ///< resume handles refused
  kBadRequests,       ///< malformed requests refused
  kMalformedInput,    ///< input from callers that is not HTTP
  kOversizedInput,    ///< request bodies above the limit
  kTooManyOpen,       ///< requests above the limit of open requests
  kCount
};

inline constexpr std::size_t kTrafficEventCount =
    static_cast<std::size_t>(TrafficEvent::kCount);

/// Name of `event` in snake_case, used as a metric label.
const char* TrafficEventName(TrafficEvent event);

/// Counts events, and refusals by reason. Refusals by the scheduler are counted
/// elsewhere.
class TrafficCounts {
 public:
  void Add(TrafficEvent event, std::uint64_t n = 1) {
    counts_[static_cast<std::size_t>(event)] += n;
  }
  std::uint64_t Get(TrafficEvent event) const {
    return counts_[static_cast<std::size_t>(event)];
  }

  void AddRefusal(Reason reason) {
    ++refusals_[static_cast<std::size_t>(reason)];
  }
  std::uint64_t Refusals(Reason reason) const {
    return refusals_[static_cast<std::size_t>(reason)];
  }

  bool operator==(const TrafficCounts&) const = default;

 private:
  std::array<std::uint64_t, kTrafficEventCount> counts_{};
  std::array<std::uint64_t, kReasonCount> refusals_{};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TRAFFIC_COUNTS_H_
