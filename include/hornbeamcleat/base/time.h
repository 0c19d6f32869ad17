#ifndef HORNBEAMCLEAT_BASE_TIME_H_
#define HORNBEAMCLEAT_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace hornbeamcleat {

/// Length of time in microseconds, the unit of every decision.
using Duration = std::chrono::microseconds;

/// Tag of the monotonic time scale of one process. It has no now(): time is
/// always passed in, so that decisions run under virtual time.
struct MonotonicScale {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicScale>;
  static constexpr bool is_steady = true;
};

/// Instant on the monotonic scale; instants of two processes do not compare.
using Time = MonotonicScale::time_point;

/// Instant in Unix time, milliseconds; used only where processes or operators
/// must agree on a date, such as a move's deadline.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Seconds in `d` as a floating-point number.
constexpr double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

/// Duration of `seconds`, rounded towards zero to microseconds.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_TIME_H_
