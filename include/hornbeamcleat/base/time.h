#ifndef HORNBEAMCLEAT_BASE_TIME_H_
#define HORNBEAMCLEAT_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace hornbeamcleat {

/// Duration in microseconds, the resolution of all decisions.
using Duration = std::chrono::microseconds;

/// Clock tag for the monotonic time of one process. It has no now(): callers
/// pass the time in, so that decision code can run under virtual time.
struct MonotonicScale {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicScale>;
  static constexpr bool is_steady = true;
};

/// Monotonic time point. Values of different processes are not comparable.
using Time = MonotonicScale::time_point;

/// Unix time in milliseconds, used only where processes or operators must agree
/// on a time, such as the deadline of a move.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Converts `d` to seconds.
constexpr double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

/// Converts `seconds` to a Duration, rounding towards zero.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_TIME_H_
