#ifndef HORNBEAMCLEAT_BASE_CLOCK_H_
#define HORNBEAMCLEAT_BASE_CLOCK_H_

#include <memory>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Time source of the daemons. The decision code takes time points as arguments
/// instead, so that it can run under virtual time.
class Clock {
 public:
  /// Creates a clock backed by the operating system. Thread-safe.
  static std::unique_ptr<Clock> Make();

  virtual ~Clock() = default;

  /// Returns the current monotonic time.
  virtual Time Now() const = 0;

  /// Like Now, but also advances while the VM is suspended.
  virtual Time SuspendAwareNow() const { return Now(); }

  /// Returns the wall-clock time, which jumps when the VM's clock is set.
  virtual WallTime WallNow() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_CLOCK_H_
