#ifndef HORNBEAMCLEAT_BASE_CLOCK_H_
#define HORNBEAMCLEAT_BASE_CLOCK_H_

#include <memory>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Source of time. Only daemons hold one; the decision library is handed
/// instants instead.
class Clock {
 public:
  /// Makes the operating system's clock. Safe for use by many threads.
  static std::unique_ptr<Clock> Make();

  virtual ~Clock() = default;

  /// Current instant of this process; never goes back.
  virtual Time Now() const = 0;

  /// Like Now, but goes on while the VM is suspended.
  virtual Time SuspendAwareNow() const { return Now(); }

  /// Current date; may jump when the VM's clock is set.
  virtual WallTime WallNow() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_CLOCK_H_
