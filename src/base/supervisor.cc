#include "hornbeamcleat/base/supervisor.h"

#include <algorithm>
#include <deque>
#include <exception>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/timer_service.h"

namespace hornbeamcleat {
namespace {

struct Child {
  Supervisor::Factory factory;
  std::unique_ptr<Component> component;
  std::string name;
  int failure_count = 0;
  bool running = false;
  std::unique_ptr<TimerService::Subscription> restart;
};

class RestartingSupervisor : public Supervisor {
 public:
  RestartingSupervisor(std::string name, const RestartPolicy& policy,
                       TimerService* timers)
      : name_(std::move(name)), policy_(policy), timers_(timers), log_(name_) {}

  ~RestartingSupervisor() override { StopAll(); }

  const char* Name() const override { return name_.c_str(); }

  void Add(Factory factory) override {
    Child child;
    child.factory = std::move(factory);
    children_.push_back(std::move(child));
  }

  void Start(Time now) override {
    draining_ = false;
    for (Child& child : children_) {
      StartChild(&child, now);
    }
  }

  void Drain(Time now) override {
    draining_ = true;
    for (Child& child : children_) {
      if (child.running) {
        child.component->Drain(now);
      }
    }
  }

  bool Drained() const override {
    return std::all_of(children_.begin(), children_.end(),
                       [](const Child& child) {
                         return !child.running || child.component->Drained();
                       });
  }

  void Stop() override { StopAll(); }

  bool Guard(const std::string& component_name, Time now,
             const std::function<void()>& work) override {
    try {
      work();
      return true;
    } catch (const std::exception& e) {
      log_.Error("Component failed. part={} cause={}", component_name,
                 e.what());
    }
    for (Child& child : children_) {
      if (child.name == component_name) {
        OnFailure(&child, now);
      }
    }
    return false;
  }

  bool RestartLimitExceeded() const override { return gave_up_; }

 private:
  void StartChild(Child* child, Time now) {
    try {
      child->component = child->factory();
      child->name = child->component->Name();
      child->component->Start(now);
      child->running = true;
    } catch (const std::exception& e) {
      log_.Error("Component failed to start. part={} cause={}", child->name,
                 e.what());
      OnFailure(child, now);
    }
  }

  void OnFailure(Child* child, Time now) {
    if (child->component != nullptr) {
      child->component->Stop();
    }
    child->running = false;
    failures_.push_back(now);
    while (!failures_.empty() && failures_.front() + policy_.window < now) {
      failures_.pop_front();
    }
    if (static_cast<int>(failures_.size()) > policy_.max_failures) {
      gave_up_ = true;
      log_.Error("Restart limit exceeded. failures={}", failures_.size());
      return;
    }
    if (draining_) {
      return;
    }
    const Duration delay = NextDelay(child);
    child->restart = timers_->At(
        now + delay, [this, child](Time due) { StartChild(child, due); });
  }

  Duration NextDelay(Child* child) const {
    Duration delay = policy_.first_delay;
    for (int i = 0; i < child->failure_count && delay < policy_.max_delay;
         ++i) {
      delay *= 2;
    }
    ++child->failure_count;
    return std::min(delay, policy_.max_delay);
  }

  void StopAll() {
    for (std::deque<Child>::reverse_iterator it = children_.rbegin();
         it != children_.rend(); ++it) {
      it->restart.reset();
      if (it->running) {
        it->component->Stop();
        it->running = false;
      }
    }
  }

  std::string name_;
  RestartPolicy policy_;
  TimerService* timers_;
  Logger log_;
  std::deque<Child> children_;  // a deque, for stable addresses in timers
  std::deque<Time> failures_;
  bool draining_ = false;
  bool gave_up_ = false;
};

}  // namespace

std::unique_ptr<Supervisor> Supervisor::Make(std::string name,
                                             const RestartPolicy& policy,
                                             TimerService* timers) {
  return std::make_unique<RestartingSupervisor>(std::move(name), policy,
                                                timers);
}

}  // namespace hornbeamcleat
