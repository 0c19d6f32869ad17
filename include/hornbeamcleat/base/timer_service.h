#ifndef HORNBEAMCLEAT_BASE_TIMER_SERVICE_H_
#define HORNBEAMCLEAT_BASE_TIMER_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Timers that parts subscribe to. Driven by its owner's loop, so that tests
/// run it under virtual time. Not thread-safe: each loop has its own.
class TimerService {
 public:
  using Callback = std::function<void(Time now)>;

  /// Keeps a timer alive; destroying it cancels the timer. May outlive the
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

  /// Calls `callback` at `first` and then every `period` (> 0); ticks missed
  /// while the loop was late are dropped, not replayed.
  [[nodiscard]] virtual std::unique_ptr<Subscription> Every(
      Time first, Duration period, Callback callback) = 0;

  /// Runs all callbacks due at `now`, earliest first.
  virtual void RunDue(Time now) = 0;

  /// Instant of the earliest timer, or nullopt if there is none.
  virtual std::optional<Time> NextDue() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_TIMER_SERVICE_H_
