#ifndef HORNBEAMCLEAT_BASE_SUPERVISOR_H_
#define HORNBEAMCLEAT_BASE_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

class TimerService;

/// Supervised component of a daemon. All methods are called on the
/// supervisor's thread.
class Component {
 public:
  virtual ~Component() = default;

  /// Constant name, used as the log prefix.
  virtual const char* Name() const = 0;
  /// Starts the component. Throws on failure, after which the supervisor
  /// recreates it.
  virtual void Start(Time now) = 0;
  /// Stops accepting new work; work in flight continues.
  virtual void Drain(Time now) = 0;
  /// Whether all work in flight has completed since Drain.
  virtual bool Drained() const = 0;
  /// Stops immediately; must not throw.
  virtual void Stop() = 0;
};

/// Exponential backoff and limit of restarts.
struct RestartPolicy {
  Duration first_delay = std::chrono::milliseconds(50);
  Duration max_delay = std::chrono::seconds(5);
  Duration window =
      std::chrono::minutes(1);  ///< sliding window of failure counts
  int max_failures = 10;        ///< within `window`; one more ends restarts

  bool operator==(const RestartPolicy&) const = default;
};

/// Restarts failed components. A supervisor is itself a Component, so that
/// supervisors can be nested.
class Supervisor : public Component {
 public:
  using Factory = std::function<std::unique_ptr<Component>()>;

  /// @param timers schedules the restarts; must outlive the supervisor
  static std::unique_ptr<Supervisor> Make(std::string name,
                                          const RestartPolicy& policy,
                                          TimerService* timers);

  /// Adds a component. Components start in insertion order and stop in reverse
  /// order.
  virtual void Add(Factory factory) = 0;

  /// Runs `work` for the component named `component_name`. If it throws, the
  /// component is stopped, and recreated and started after the backoff delay.
  /// @return false if `work` threw
  virtual bool Guard(const std::string& component_name, Time now,
                     const std::function<void()>& work) = 0;

  /// Whether the restart limit was exceeded; the process must then exit with a
  /// non-zero code.
  virtual bool RestartLimitExceeded() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_SUPERVISOR_H_
