#include "src/serving/retry_schedule.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

/// Recent counts decide; older ones say nothing about the present overload.
constexpr double kHalfLifeSeconds = 1;
/// Share of refused requests up to which callers retry as soon as a slot may be
/// free, since most requests are served, and from which they retry as late as
/// they follow, since most would be refused again.
constexpr double kNoDelayShare = 0.4;
constexpr double kFullDelayShare = 0.8;
/// Fraction of the longest delay over which callers are spread.
constexpr double kSpread = 0.25;
constexpr double kSeeds = 4'294'967'296;

}  // namespace

double RetrySchedule::DecayingCount::Add(double n, Time now) {
  const double age = std::max(0.0, ToSeconds(now - at));
  value = value * std::exp2(-age / kHalfLifeSeconds) + n;
  at = now;
  return value;
}

void RetrySchedule::OnArrival(Priority priority, Time now) {
  counts_[priority].arrived.Add(1, now);
}

Duration RetrySchedule::OnRefused(Priority priority, Duration estimate,
                                  Duration max_delay, std::uint32_t seed,
                                  Time now) {
  Counts& counts = counts_[priority];
  const double refused = counts.refused.Add(1, now);
  const double arrived = std::max(refused, counts.arrived.Add(0, now));
  const double delay_share = std::clamp(
      (refused / arrived - kNoDelayShare) / (kFullDelayShare - kNoDelayShare),
      0.0, 1.0);
  const double position = 1 - kSpread * (1 - seed / kSeeds);
  return std::max(estimate,
                  FromSeconds(ToSeconds(max_delay) * delay_share * position));
}

}  // namespace hornbeamcleat
