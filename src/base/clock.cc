#include "hornbeamcleat/base/clock.h"

#include <time.h>

namespace hornbeamcleat {
namespace {

class SystemClock : public Clock {
 public:
  Time Now() const override {
    const std::chrono::steady_clock::duration since_boot =
        std::chrono::steady_clock::now().time_since_epoch();
    return Time(std::chrono::duration_cast<Duration>(since_boot));
  }

  Time SuspendAwareNow() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Time(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
  }

  WallTime WallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

}  // namespace

std::unique_ptr<Clock> Clock::Make() { return std::make_unique<SystemClock>(); }

}  // namespace hornbeamcleat
