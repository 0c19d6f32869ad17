#include "hornbeamcleat/base/timer_service.h"

#include <cassert>
#include <map>
#include <utility>

namespace hornbeamcleat {
namespace {

struct Timer {
  TimerService::Callback callback;
  Duration period{0};
};

using Queue = std::multimap<Time, std::weak_ptr<Timer>>;

class TimerSubscription : public TimerService::Subscription {
 public:
  explicit TimerSubscription(std::shared_ptr<Timer> timer)
      : timer_(std::move(timer)) {}

 private:
  std::shared_ptr<Timer> timer_;
};

class QueueTimerService : public TimerService {
 public:
  std::unique_ptr<Subscription> At(Time when, Callback callback) override {
    return Add(when, Duration(0), std::move(callback));
  }

  std::unique_ptr<Subscription> Every(Time first, Duration period,
                                      Callback callback) override {
    assert(period > Duration(0));
    return Add(first, period, std::move(callback));
  }

  void RunDue(Time now) override {
    while (!queue_.empty() && queue_.begin()->first <= now) {
      const Time due = queue_.begin()->first;
      // Keeps the timer alive while it runs, because the callback may destroy
      // its own subscription.
      const std::shared_ptr<Timer> timer = queue_.begin()->second.lock();
      queue_.erase(queue_.begin());
      if (timer == nullptr) {
        continue;
      }
      if (timer->period > Duration(0)) {
        const Duration late = now - due;
        const Duration skipped = (late / timer->period) * timer->period;
        queue_.emplace(due + skipped + timer->period, timer);
      }
      timer->callback(now);
    }
  }

  std::optional<Time> NextDue() const override {
    for (Queue::const_iterator it = queue_.begin(); it != queue_.end(); ++it) {
      if (!it->second.expired()) {
        return it->first;
      }
    }
    return std::nullopt;
  }

 private:
  std::unique_ptr<Subscription> Add(Time when, Duration period,
                                    Callback callback) {
    const std::shared_ptr<Timer> timer = std::make_shared<Timer>();
    timer->callback = std::move(callback);
    timer->period = period;
    queue_.emplace(when, timer);
    return std::make_unique<TimerSubscription>(timer);
  }

  Queue queue_;
};

}  // namespace

std::unique_ptr<TimerService> TimerService::Make() {
  return std::make_unique<QueueTimerService>();
}

}  // namespace hornbeamcleat
