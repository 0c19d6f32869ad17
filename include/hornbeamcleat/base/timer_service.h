#ifndef HORNBEAMCLEAT_BASE_TIMER_SERVICE_H_
#define HORNBEAMCLEAT_BASE_TIMER_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// One-shot and periodic timers. The owner's event loop drives them, so that
/// tests can use virtual time. Not thread-safe; each loop has its own instance.
class TimerService {
 public:
  using Callback = std::function<void(Time now)>;

  /// Handle of a timer; its destruction cancels the timer. May outlive the
  /// service.
  class Subscription {
   public:
    virtual ~Subscription() = default;
  };

  static std::unique_ptr<TimerService> Make();

  virtual ~TimerService() = default;

  /// Calls `callback` once, at or after `when`.
  [[nodiscard]] virtual std::unique_ptr<Subscription> At(Time when,
                                                         Callback callback) = 0;

  /// Calls `callback` at `first` and then every `period` (> 0). Ticks missed
  /// because the loop ran late are skipped.
  [[nodiscard]] virtual std::unique_ptr<Subscription> Every(
      Time first, Duration period, Callback callback) = 0;

  /// Runs all callbacks due at `now` in order of their due times.
  virtual void RunDue(Time now) = 0;

  /// Due time of the earliest timer, or nullopt if there is none.
  virtual std::optional<Time> NextDue() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_TIMER_SERVICE_H_
