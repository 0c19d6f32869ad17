#ifndef HORNBEAMCLEAT_BASE_SUPERVISOR_H_
#define HORNBEAMCLEAT_BASE_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

class TimerService;

/// Part of a daemon under supervision. All calls come from the supervisor's
/// thread.
class Part {
 public:
  virtual ~Part() = default;

  /// Fixed name, used as log prefix.
  virtual const char* Name() const = 0;
  /// Begins work; throws on failure, after which the part is made anew.
  virtual void Start(Time now) = 0;
  /// Takes no new work; what is in flight goes on.
  virtual void Drain(Time now) = 0;
  /// Whether work in flight has ended after Drain.
  virtual bool Drained() const = 0;
  /// Ends at once; must not throw.
  virtual void Stop() = 0;
};

/// Back-off and limits of restarts.
struct RestartPolicy {
  Duration first_delay = std::chrono::milliseconds(50);
  Duration max_delay = std::chrono::seconds(5);
  Duration window = std::chrono::minutes(1);  ///< failures are counted in it
  int max_failures = 10;  ///< within `window`; one more gives up

  bool operator==(const RestartPolicy&) const = default;
};

/// Node of the supervisor tree; it is a Part itself, so trees nest.
class Supervisor : public Part {
 public:
  using Factory = std::function<std::unique_ptr<Part>()>;

  /// @param timers used for restarts; must outlive the supervisor
  static std::unique_ptr<Supervisor> Make(std::string name,
                                          const RestartPolicy& policy,
                                          TimerService* timers);

  /// Adds a part; parts start in the order added and stop in reverse.
  virtual void Add(Factory factory) = 0;

  /// Runs `work` on behalf of the part called `part_name`. If it throws, the
  /// part is stopped, made anew and started after a delay.
  /// @return false if `work` threw
  virtual bool Guard(const std::string& part_name, Time now,
                     const std::function<void()>& work) = 0;

  /// Whether the restart limit was passed; the owner must exit non-zero.
  virtual bool GaveUp() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_SUPERVISOR_H_
