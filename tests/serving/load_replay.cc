#include "tests/serving/load_replay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>

#include "src/serving/scale_plan.h"
#include "src/serving/target_balancer.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart{std::chrono::seconds(10)};
/// Time for which results don't count, while the VMs learn.
constexpr Duration kWarmUp = std::chrono::seconds(2);
/// One way between a VM and a target or another VM.
constexpr Duration kTransit = std::chrono::microseconds(500);
constexpr Duration kDecisionPeriod = milliseconds(20);

Duration Scaled(Duration time, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/// Work of a target that is slow at times.
class WorkTimeline {
 public:
  WorkTimeline(const LoadReplayOptions& options, std::mt19937* random)
      : factor_(options.slow_factor), slow_time_(options.slow_time) {
    if (options.slow_share <= 0) {
      return;
    }
    const double mean_pause = ToSeconds(options.slow_time) *
                              (1 - options.slow_share) / options.slow_share;
    std::exponential_distribution<double> pause(1 / mean_pause);
    Time at = kStart;
    while (at < kStart + options.length) {
      at += FromSeconds(pause(*random));
      slow_from_.push_back(at);
      at += options.slow_time;
    }
  }

  double FactorAt(Time time) const {
    return std::any_of(slow_from_.begin(), slow_from_.end(),
                       [&](Time from) {
                         return from <= time && time < from + slow_time_;
                       })
               ? factor_
               : 1;
  }

  /// Returns when work that takes `work` at the usual speed ends.
  Time EndOf(Time start, Duration work) const {
    constexpr Duration kStep = milliseconds(2);
    Time at = start;
    double left_ms = ToSeconds(work) * 1'000;
    while (true) {
      const double factor = FactorAt(at);
      const double step_ms = ToSeconds(kStep) * 1'000 / factor;
      if (left_ms <= step_ms) {
        return at + FromSeconds(left_ms * factor / 1'000);
      }
      left_ms -= step_ms;
      at += kStep;
    }
  }

 private:
  double factor_;
  Duration slow_time_;
  std::vector<Time> slow_from_;
};

struct Request {
  std::uint64_t id = 0;
  int vm = 0;
  Time arrival;
  Time sent;
  Placement placement;
  PlacementNeed need;
  bool had_first_event = false;
};

struct Target {
  ServingTarget spec;
  double speed = 1;
  int running = 0;
  std::deque<std::shared_ptr<Request>> waiting;
  std::unique_ptr<WorkTimeline> timeline;
  Time counted_until = kStart;
  Duration used{0};  ///< sum over slots
};

struct Vm {
  int index = 0;
  int domain = 0;
  bool has_part = true;
  TargetBalancer balancer;
  WaitQueue queue{&balancer};
  std::map<std::uint64_t, std::shared_ptr<Request>> waiting;
  std::uint64_t sent_changes = 0;
  Time sent_at;
  bool is_send_scheduled = false;
  bool is_decision_scheduled = false;
};

class Replay {
 public:
  explicit Replay(const LoadReplayOptions& options)
      : options_(options), random_(options.seed) {
    plan_ = PlanForScale(options.vms, options.vms / options.domains,
                         std::chrono::seconds(5), std::chrono::seconds(3));
    result_.sent.resize(static_cast<std::size_t>(options.targets));
    MakeTargets();
    MakeVms();
  }

  LoadReplayResult Run() {
    ScheduleArrival();
    for (std::size_t i = 0; i < vms_.size(); ++i) {
      // Spread like the heartbeats of VMs.
      SendStats(i, kStart + plan_.local_details_period * i / vms_.size());
      SendRemote(i, kStart + plan_.remote_heartbeat_period * i / vms_.size());
    }
    if (options_.restart_at > Duration(0)) {
      At(kStart + options_.restart_at, [this] { RestartFirstTarget(); });
    }
    while (!events_.empty() && events_.top().at < kStart + options_.length) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    Finish();
    return result_;
  }

 private:
  struct Event {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(Time at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  bool Counts(Time arrival) const { return arrival >= kStart + kWarmUp; }

  std::vector<ServingTarget> Specs() const {
    std::vector<ServingTarget> specs;
    for (const Target& target : targets_) {
      specs.push_back(target.spec);
    }
    return specs;
  }

  void MakeTargets() {
    targets_.resize(static_cast<std::size_t>(options_.targets));
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      Target& target = targets_[i];
      target.spec.id = "t" + std::to_string(i);
      target.spec.service = "s";
      target.spec.failure_domain =
          "d" + std::to_string(i % static_cast<std::size_t>(options_.domains));
      target.spec.slots = options_.slots;
      target.spec.start_time_ms = 1;
      target.speed = std::pow(options_.speed_ratio,
                              std::uniform_real_distribution<>(0, 1)(random_));
      target.timeline = std::make_unique<WorkTimeline>(options_, &random_);
    }
  }

  void MakeVms() {
    for (int i = 0; i < options_.vms; ++i) {
      vms_.push_back(std::make_unique<Vm>());
      Vm& vm = *vms_.back();
      vm.index = i;
      vm.domain = i % options_.domains;
      vm.has_part = i < options_.part_share * options_.vms;
      vm.balancer.SetTargets(Specs(), now_);
      vm.balancer.SetCandidateShare(plan_.candidate_share);
      vm.balancer.SetRemoteDomainCost(plan_.remote_domain_cost_ms);
      vm.balancer.SetNewsDelay(
          plan_.min_change_interval + plan_.peer_read_interval,
          plan_.is_domain_scoped);
      if (!options_.is_engine && options_.has_short_queues) {
        vm.balancer.SetPlainServices({{"s", options_.objective}});
      }
    }
  }

  void RestartFirstTarget() {
    targets_[0].spec.start_time_ms = 2;
    for (const std::unique_ptr<Vm>& vm : vms_) {
      vm->balancer.SetTargets(Specs(), now_);
    }
  }

  void ScheduleArrival() {
    const double mean = 1 / options_.per_second;
    const double random =
        std::exponential_distribution<double>(1 / mean)(random_);
    At(now_ + FromSeconds(options_.arrival_spread * random +
                          (1 - options_.arrival_spread) * mean),
       [this] {
         Arrive();
         ScheduleArrival();
       });
  }

  void Arrive() {
    const std::shared_ptr<Request> request = std::make_shared<Request>();
    request->id = ++next_id_;
    request->vm =
        std::uniform_int_distribution<int>(0, options_.vms - 1)(random_);
    request->arrival = now_;
    request->need.service = "s";
    request->need.failure_domain =
        "d" + std::to_string(vms_[request->vm]->domain);
    request->need.seed = static_cast<std::uint32_t>(random_());
    if (Counts(now_)) {
      ++result_.requests;
    }
    Enqueue(request);
  }

  void Enqueue(const std::shared_ptr<Request>& request) {
    Vm& vm = *vms_[request->vm];
    WaitingRequest waiting;
    waiting.id = request->id;
    waiting.arrival = request->arrival;
    waiting.objective_deadline = request->arrival + options_.objective;
    waiting.deadline = request->arrival + std::chrono::seconds(10);
    waiting.need = request->need;
    vm.waiting[request->id] = request;
    vm.queue.Add(waiting);
    Decide(&vm);
  }

  void Decide(Vm* vm) {
    for (const WaitDecision& decision : vm->queue.Decide(now_)) {
      const std::shared_ptr<Request> request = vm->waiting[decision.id];
      vm->waiting.erase(decision.id);
      if (decision.kind == WaitDecision::Kind::kPlace) {
        request->placement = decision.placement;
        request->sent = now_;
        At(now_ + kTransit, [this, request] { Receive(request); });
      } else if (Counts(request->arrival)) {
        ++result_.refused;
      }
    }
    if (!vm->waiting.empty() && !vm->is_decision_scheduled) {
      vm->is_decision_scheduled = true;
      At(now_ + kDecisionPeriod, [this, vm] {
        vm->is_decision_scheduled = false;
        Decide(vm);
      });
    }
    SendSoon(vm);
  }

  void SendSoon(Vm* vm) {
    const std::uint64_t changes = vm->balancer.Changes() + vm->queue.Changes();
    if (changes == vm->sent_changes || vm->is_send_scheduled) {
      return;
    }
    vm->is_send_scheduled = true;
    At(std::max(now_, vm->sent_at + plan_.min_change_interval), [this, vm] {
      vm->is_send_scheduled = false;
      vm->sent_at = now_;
      vm->sent_changes = vm->balancer.Changes() + vm->queue.Changes();
      Send(*vm, true);
    });
  }

  bool IsNear(const Vm& a, const Vm& b) const {
    return !plan_.is_domain_scoped || a.domain == b.domain;
  }

  void Send(const Vm& vm, bool to_near) {
    const std::vector<TargetLoad> loads = vm.balancer.LocalLoad(now_, to_near);
    const std::vector<ServiceQueue> queues = vm.queue.Queues(now_);
    const std::string link = "vm" + std::to_string(vm.index);
    const Duration delay =
        kTransit + (to_near ? plan_.peer_read_interval / 2 : Duration(0));
    const int from = vm.index;
    At(now_ + delay, [this, loads, queues, link, from, to_near] {
      for (const std::unique_ptr<Vm>& peer : vms_) {
        if (peer->index == from || IsNear(*peer, *vms_[from]) != to_near) {
          continue;
        }
        peer->balancer.SetPeerLoad(link, ReadBy(*peer, loads), now_, to_near);
        if (to_near) {
          peer->queue.SetPeerQueues(link, queues, now_);
        }
        if (!peer->waiting.empty()) {
          Decide(peer.get());
        }
      }
    });
  }

  static std::vector<TargetLoad> ReadBy(const Vm& vm,
                                        std::vector<TargetLoad> loads) {
    if (!vm.has_part) {
      for (TargetLoad& load : loads) {
        load.report.reset();
      }
    }
    return loads;
  }

  void SendStats(std::size_t index, Time at) {
    At(at, [this, index] {
      const std::vector<TargetStats> stats =
          vms_[index]->balancer.LocalStats("", now_);
      for (const std::unique_ptr<Vm>& peer : vms_) {
        if (peer != vms_[index] && IsNear(*peer, *vms_[index])) {
          peer->balancer.SetPeerStats("vm" + std::to_string(index), stats);
        }
      }
      SendStats(index, now_ + plan_.local_details_period);
    });
  }

  void SendRemote(std::size_t index, Time at) {
    At(at, [this, index] {
      Send(*vms_[index], false);
      SendRemote(index, now_ + plan_.remote_heartbeat_period);
    });
  }

  Target& TargetOf(const Request& request) {
    return targets_[std::stoul(request.placement.target.substr(1))];
  }

  void Receive(const std::shared_ptr<Request>& request) {
    Target& target = TargetOf(*request);
    if (Counts(now_)) {
      ++result_.sent[std::stoul(request->placement.target.substr(1))];
    }
    if (target.running < options_.slots) {
      Start(request, &target);
    } else if (target.waiting.size() <
               static_cast<std::size_t>(options_.target_queue)) {
      target.waiting.push_back(request);
    } else {
      if (Counts(now_)) {
        ++result_.refused_at_targets;
      }
      Respond(request, target, [this, request] { OnRefused(request); });
    }
  }

  void Count(Target* target) {
    if (now_ >= kStart + kWarmUp) {
      target->used +=
          (now_ - std::max(target->counted_until, kStart + kWarmUp)) *
          target->running;
    }
    target->counted_until = now_;
  }

  void Start(const std::shared_ptr<Request>& request, Target* target) {
    Count(target);
    ++target->running;
    if (options_.is_engine) {
      At(target->timeline->EndOf(now_,
                                 Scaled(options_.first_event, target->speed)),
         [this, request, target] {
           Respond(request, *target,
                   [this, request] { OnFirstEvent(request); });
         });
    }
    At(target->timeline->EndOf(now_, Scaled(options_.work, target->speed)),
       [this, request, target] { End(request, target); });
  }

  void End(const std::shared_ptr<Request>& request, Target* target) {
    // The head of an answer is written while its request holds the slot.
    if (options_.is_engine) {
      At(now_ + kTransit, [this, request] { OnEnded(request); });
    } else {
      Respond(request, *target, [this, request] {
        OnFirstEvent(request);
        OnEnded(request);
      });
    }
    Count(target);
    --target->running;
    if (!target->waiting.empty()) {
      const std::shared_ptr<Request> next = target->waiting.front();
      target->waiting.pop_front();
      Start(next, target);
    }
  }

  // Delivers the head of a response, with the target's load.
  void Respond(const std::shared_ptr<Request>& request, const Target& target,
               std::function<void()> then) {
    TargetLoadReport load;
    load.running = static_cast<std::uint32_t>(target.running);
    load.waiting = static_cast<std::uint32_t>(target.waiting.size());
    load.slots = static_cast<std::uint32_t>(options_.slots);
    if (options_.slow_share > 0) {
      load.work_time = target.timeline->FactorAt(now_);
    }
    const std::optional<TargetLoadReport> stated =
        options_.stated
            ? options_.stated(static_cast<int>(&target - &targets_[0]), load)
            : load;
    At(now_ + kTransit,
       [this, request, stated, spec = target.spec, then = std::move(then)] {
         Vm& vm = *vms_[request->vm];
         if (vm.has_part && stated.has_value()) {
           vm.balancer.OnLoadReport(spec, *stated, now_);
         }
         then();
       });
  }

  void OnFirstEvent(const std::shared_ptr<Request>& request) {
    Vm& vm = *vms_[request->vm];
    request->had_first_event = true;
    vm.balancer.OnFirstEvent(request->placement.target, 0, now_ - request->sent,
                             request->placement.ExpectedAtUsualSpeed(), now_);
    if (Counts(request->arrival)) {
      result_.late += now_ > request->arrival + options_.objective ? 1 : 0;
    }
    Decide(&vm);
  }

  void OnEnded(const std::shared_ptr<Request>& request) {
    Vm& vm = *vms_[request->vm];
    vm.balancer.OnEnded(request->placement.target, 0, true,
                        TargetOutcome::kAnswered, now_);
    vm.queue.OnSlotReleased("s", now_ - request->sent);
    Decide(&vm);
  }

  void OnRefused(const std::shared_ptr<Request>& request) {
    vms_[request->vm]->balancer.OnEnded(request->placement.target, 0, false,
                                        TargetOutcome::kNotRun, now_);
    request->need.tried.push_back(request->placement.target);
    Enqueue(request);
  }

  void Finish() {
    now_ = kStart + options_.length;
    Duration used{0};
    for (Target& target : targets_) {
      Count(&target);
      used += target.used;
    }
    result_.used_slots =
        ToSeconds(used) / (ToSeconds(options_.length - kWarmUp) *
                           options_.slots * options_.targets);
  }

  const LoadReplayOptions options_;
  std::mt19937 random_;
  ScalePlan plan_;
  Time now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_id_ = 0;
  std::vector<Target> targets_;
  std::vector<std::unique_ptr<Vm>> vms_;
  LoadReplayResult result_;
};

}  // namespace

LoadReplayResult ReplayLoad(const LoadReplayOptions& options) {
  return Replay(options).Run();
}

}  // namespace hornbeamcleat
