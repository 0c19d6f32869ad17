#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_PACER_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_PACER_H_

#include <random>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Assigns retry delays to refused callers so that they don't retry at the same
/// time. Each caller gets the next free slot at the rate at which retries can
/// be served. When that slot is beyond the maximum delay, the delay is random
/// between half the maximum and the maximum.
class RetryPacer {
 public:
  static constexpr Duration kMinDelay = std::chrono::seconds(1);
  static constexpr Duration kMaxDelay = std::chrono::seconds(60);

  /// @param rate retries per second that can be served
  Duration NextDelay(double rate, Time now, std::mt19937_64* random);

 private:
  Time next_retry_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_PACER_H_
