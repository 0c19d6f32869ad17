#include "hornbeamcleat/base/timer_service.h"

#include <cassert>
#include <map>
#include <utility>

namespace hornbeamcleat {
namespace {

struct Timer;

using Queue = std::multimap<Time, std::shared_ptr<Timer>>;

struct Timer {
  TimerService::Callback callback;
  Duration period{0};
  bool is_queued = false;
  Queue::iterator position;  ///< while queued
};

// Takes its timer out of the queue when it goes. A timer that stayed until its
// time would let a caller fill the memory with one timer per request.
class TimerSubscription : public TimerService::Subscription {
 public:
  TimerSubscription(std::shared_ptr<Timer> timer, std::weak_ptr<Queue> queue)
      : timer_(std::move(timer)), queue_(std::move(queue)) {}

  ~TimerSubscription() override {
    const std::shared_ptr<Queue> queue = queue_.lock();
    timer_->period = Duration(0);
    if (queue != nullptr && timer_->is_queued) {
      timer_->is_queued = false;
      queue->erase(timer_->position);
    }
  }

  TimerSubscription(const TimerSubscription&) = delete;
  TimerSubscription& operator=(const TimerSubscription&) = delete;

 private:
  const std::shared_ptr<Timer> timer_;
  const std::weak_ptr<Queue> queue_;
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
    while (!queue_->empty() && queue_->begin()->first <= now) {
      const Time due = queue_->begin()->first;
      // Keeps the timer alive while it runs, because the callback may destroy
      // its own subscription.
      const std::shared_ptr<Timer> timer = queue_->begin()->second;
      queue_->erase(queue_->begin());
      timer->is_queued = false;
      if (timer->period > Duration(0)) {
        const Duration late = now - due;
        const Duration skipped = (late / timer->period) * timer->period;
        Enqueue(due + skipped + timer->period, timer);
      }
      timer->callback(now);
    }
  }

  std::optional<Time> NextDue() const override {
    if (queue_->empty()) {
      return std::nullopt;
    }
    return queue_->begin()->first;
  }

 private:
  std::unique_ptr<Subscription> Add(Time when, Duration period,
                                    Callback callback) {
    const std::shared_ptr<Timer> timer = std::make_shared<Timer>();
    timer->callback = std::move(callback);
    timer->period = period;
    Enqueue(when, timer);
    return std::make_unique<TimerSubscription>(timer, queue_);
  }

  void Enqueue(Time when, const std::shared_ptr<Timer>& timer) {
    timer->position = queue_->emplace(when, timer);
    timer->is_queued = true;
  }

  const std::shared_ptr<Queue> queue_ = std::make_shared<Queue>();
};

}  // namespace

std::unique_ptr<TimerService> TimerService::Make() {
  return std::make_unique<QueueTimerService>();
}

}  // namespace hornbeamcleat
