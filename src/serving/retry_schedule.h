#ifndef HORNBEAMCLEAT_SRC_SERVING_RETRY_SCHEDULE_H_
#define HORNBEAMCLEAT_SRC_SERVING_RETRY_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <utility>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Chooses when refused callers of one service come back.
///
/// Load pattern: demand is a multiple of the capacity for seconds. Callers that
/// come back as soon as a slot may be free meet the same overload, and each one
/// comes back only once. So the more requests of a priority are refused beyond
/// a share, the later they are told to retry, up to the time that their callers
/// follow, and spread over a part of it.
class RetrySchedule {
 public:
  /// Workspace rank and route rank.
  using Priority = std::pair<int, int>;

  void OnArrival(Priority priority, Time now);

  /// Records a refusal and returns the time until the caller may retry.
  /// @param estimate time until a slot is likely to be free
  /// @param max_delay longest time for which the caller follows Retry-After;
  ///   zero: unknown, which leaves the estimate as it is
  /// @param seed spreads callers
  Duration OnRefused(Priority priority, Duration estimate, Duration max_delay,
                     std::uint32_t seed, Time now);

 private:
  /// Count that halves every second.
  struct DecayingCount {
    double value = 0;
    Time at;

    double Add(double n, Time now);
  };
  struct Counts {
    DecayingCount arrived;
    DecayingCount refused;
  };

  std::map<Priority, Counts> counts_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_RETRY_SCHEDULE_H_
