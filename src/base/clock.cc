#include "hornbeamcleat/base/clock.h"

namespace hornbeamcleat {
namespace {

class SystemClock : public Clock {
 public:
  Time Now() const override {
    const std::chrono::steady_clock::duration since_boot =
        std::chrono::steady_clock::now().time_since_epoch();
    return Time(std::chrono::duration_cast<Duration>(since_boot));
  }

  WallTime WallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

}  // namespace

std::unique_ptr<Clock> Clock::Make() { return std::make_unique<SystemClock>(); }

}  // namespace hornbeamcleat
