#include "src/schedule/scheduler_impl.h"

#include <algorithm>
#include <utility>

namespace hornbeamcleat {
namespace {

/// Time limit of an answer that still makes progress at its deadline, as a
/// multiple of the request's time budget.
constexpr int kLateAnswerFactor = 2;
/// Interval between checks of a request that is late but may not be refused
/// yet.
constexpr Duration kOverdueRecheckInterval = std::chrono::milliseconds(100);
/// Maximum queue length while higher tiers may not be refused yet, as a
/// multiple of max_queued.
constexpr int kMaxQueueOvershoot = 2;

}  // namespace

SchedulerImpl::SchedulerImpl(const SchedulerOptions& options)
    : options_(options),
      dispatcher_(options),
      admission_(options),
      crashes_(options.poison_limit, options.poison_expiry),
      random_(options.seed) {}

Actions SchedulerImpl::SetView(std::shared_ptr<const ClusterView> view,
                               Time now) {
  view_ = std::move(view);
  routes_.SetConfig(view_->config);
  dispatcher_.SetView(view_);
  crashes_.SetView(*view_, now);
  Actions actions;
  RefuseLikelyCrashes(now, &actions);
  for (auto& [name, model] : dispatcher_.Models()) {
    DisplaceClosed(&model, now, &actions);
  }
  dispatcher_.DispatchAll(now, &actions);
  return actions;
}

Actions SchedulerImpl::Submit(const RequestSpec& spec, Time now) {
  Actions actions;
  Reason reason = Reason::kNotReady;
  std::shared_ptr<const Route> route = Resolve(spec, &reason);
  if (route == nullptr) {
    const Duration retry_after =
        RetryAfter(nullptr, Outcome::kNotRun, reason, now);
    actions.emplace_back(
        RefuseAction{spec.id, Outcome::kNotRun, reason, retry_after});
    return actions;
  }
  auto owned = std::make_unique<RequestState>();
  RequestState* request = owned.get();
  request->spec = spec;
  request->route = std::move(route);
  request->model = dispatcher_.Model(request->route->model);
  request->deadline = spec.deadline == Time::max()
                          ? now + request->route->default_deadline
                          : spec.deadline;
  request->time_budget = request->deadline - now;
  request->sequence = next_sequence_++;
  requests_.emplace(spec.id, std::move(owned));
  Enqueue(request, now, &actions);
  return actions;
}

std::shared_ptr<const Route> SchedulerImpl::Resolve(const RequestSpec& spec,
                                                    Reason* reason) {
  if (draining_) {
    *reason = Reason::kDraining;
    return nullptr;
  }
  std::shared_ptr<const Route> route =
      routes_.Find(spec.workspace, spec.application, reason);
  if (route == nullptr) {
    return nullptr;
  }
  const bool key_missing = !route->idempotent && spec.idempotency_key.empty();
  if (spec.id.empty() || key_missing || requests_.contains(spec.id)) {
    *reason = Reason::kBadRequest;
    return nullptr;
  }
  return route;
}

void SchedulerImpl::Enqueue(RequestState* request, Time now, Actions* actions) {
  dispatcher_.ChooseVersion(request);
  admission_.Predict(request, now);
  request->model->offered.Add(request->route->rank, request->cost, now);
  request->predicted_wait = admission_.PredictWait(*request, now);
  request->suspect = crashes_.IsSuspect(request->spec, now);
  if (admission_.IsShortOfCapacity(*request, request->predicted_wait, now)) {
    OnShortage(*request, now, actions);
    request->predicted_wait = admission_.PredictWait(*request, now);
  }
  std::optional<Reason> reason = Refusal(request, now);
  if (!reason.has_value()) {
    request->verdict = crashes_.Check(request->spec, now);
    if (request->verdict == CrashTracker::Verdict::kRefused) {
      reason = Reason::kPoison;
    }
  }
  if (reason.has_value()) {
    Refuse(request, Outcome::kNotRun, *reason, now, actions);
    return;
  }
  if (!MakeRoom(request, now, actions)) {
    Refuse(request, Outcome::kNotRun, Reason::kQueueFull, now, actions);
    return;
  }
  request->model->admitted.Add(request->route->rank, request->cost, now);
  dispatcher_.Push(request);
  timers_.Set(request, admission_.ShortageCheckTime(*request, now));
  dispatcher_.Dispatch(request->model, now, actions);
}

std::optional<Reason> SchedulerImpl::Refusal(RequestState* request,
                                             Time now) const {
  if (request->deadline <= now) {
    return Reason::kDeadline;
  }
  if (!dispatcher_.HasTarget(*request)) {
    return Reason::kNoTarget;
  }
  if (options_.policy != SchedulePolicy::kFull) {
    return std::nullopt;
  }
  return admission_.RefusalReason(*request, request->predicted_wait, now);
}

bool SchedulerImpl::MakeRoom(RequestState* request, Time now,
                             Actions* actions) {
  if (dispatcher_.Queued() < options_.max_queued) {
    return true;
  }
  if (options_.policy != SchedulePolicy::kFull) {
    return false;
  }
  const int rank = request->route->rank;
  RequestState* last = Dispatcher::FindDisplaceable(*request->model, rank);
  if (last != nullptr) {
    Refuse(last, Outcome::kNotRun, Reason::kDisplaced, now, actions);
    return true;
  }
  OnShortage(*request, now, actions);
  return !request->model->floor.MayShed(rank, now) &&
         dispatcher_.Queued() < kMaxQueueOvershoot * options_.max_queued;
}

void SchedulerImpl::OnShortage(const RequestState& request, Time now,
                               Actions* actions) {
  if (request.model->floor.OnShortage(request.route->rank, now)) {
    DisplaceClosed(request.model, now, actions);
  }
}

void SchedulerImpl::DisplaceClosed(ModelState* model, Time now,
                                   Actions* actions) {
  const int least = model->floor.LeastClosed();
  RequestState* last = Dispatcher::FindDisplaceable(*model, least - 1);
  while (last != nullptr) {
    Refuse(last, Outcome::kNotRun, Reason::kDisplaced, now, actions);
    last = Dispatcher::FindDisplaceable(*model, least - 1);
  }
}

Actions SchedulerImpl::Tick(Time now) {
  Actions actions;
  UpdateLimits(now);
  RefuseLikelyCrashes(now, &actions);
  dispatcher_.Tick(now);
  while (RequestState* due = timers_.PopDue(now)) {
    OnTimer(due, now, &actions);
  }
  dispatcher_.DispatchAll(now, &actions);
  return actions;
}

void SchedulerImpl::UpdateLimits(Time now) {
  crashes_.Tick(now);
  TargetTable& targets = dispatcher_.Targets();
  for (const auto& [model, pool] : targets.Pools()) {
    for (TargetState* restored : ejection_.Tick(pool, now)) {
      targets.UpdateCredits(restored);
    }
    for (TargetState* target : pool) {
      const bool in_use = target->in_flight >= target->credits;
      if (target->limit.Update(in_use, now)) {
        targets.UpdateCredits(target);
      }
    }
  }
}

void SchedulerImpl::RefuseLikelyCrashes(Time now, Actions* actions) {
  if (!crashes_.TakeNewlyRefused()) {
    return;
  }
  std::vector<RequestState*> affected;
  for (const auto& [id, request] : requests_) {
    const bool is_waiting = request->phase == Phase::kQueued ||
                            request->phase == Phase::kRecordingIntent;
    const bool is_begun =
        request->parts > 0 || request->phase == Phase::kResuming;
    if (request->verdict != CrashTracker::Verdict::kTrial &&
        (is_waiting
             ? crashes_.IsRefused(request->spec)
             : !is_begun && crashes_.IsLikelyDeadly(request->spec, now))) {
      affected.push_back(request.get());
    }
  }
  std::sort(affected.begin(), affected.end(),
            [](const RequestState* a, const RequestState* b) {
              return a->sequence < b->sequence;
            });
  for (RequestState* request : affected) {
    if (request->phase == Phase::kDispatched ||
        request->phase == Phase::kSent) {
      AbortInFlight(request, Reason::kPoison, now, actions);
    } else {
      Refuse(request, Outcome::kNotRun, Reason::kPoison, now, actions);
    }
  }
}

void SchedulerImpl::OnTimer(RequestState* request, Time now, Actions* actions) {
  const bool is_waiting = request->phase == Phase::kQueued ||
                          request->phase == Phase::kRecordingIntent;
  if (is_waiting) {
    OnWaitingTimer(request, now, actions);
  } else {
    OnInFlightTimer(request, now, actions);
  }
}

void SchedulerImpl::OnWaitingTimer(RequestState* request, Time now,
                                   Actions* actions) {
  if (now >= request->deadline) {
    Refuse(request, Outcome::kNotRun, Reason::kDeadline, now, actions);
    return;
  }
  if (request->phase == Phase::kRecordingIntent ||
      options_.policy != SchedulePolicy::kFull) {
    timers_.Set(request, request->deadline);
    return;
  }
  if (now < request->latest_start) {
    OnShortage(*request, now, actions);
    // Ranks close one per settle time, so the shortage is reported again.
    timers_.Set(request,
                std::min(request->latest_start, now + options_.floor_settle));
    return;
  }
  if (request->model->floor.MayShed(request->route->rank, now)) {
    Refuse(request, Outcome::kNotRun, Reason::kDeadline, now, actions);
    return;
  }
  request->overdue = true;
  OnShortage(*request, now, actions);
  timers_.Set(request,
              std::min(request->deadline, now + kOverdueRecheckInterval));
}

void SchedulerImpl::OnInFlightTimer(RequestState* request, Time now,
                                    Actions* actions) {
  const Time last_end =
      request->parts == 0
          ? request->deadline
          : request->deadline + (kLateAnswerFactor - 1) * request->time_budget;
  if (now >= last_end) {
    AbortInFlight(request, Reason::kDeadline, now, actions);
    return;
  }
  const Time stalls_at = request->last_progress + request->stall_timeout;
  if (request->phase == Phase::kSent && now >= stalls_at) {
    Resume(request, now, actions);
    return;
  }
  timers_.Set(request,
              stalls_at > now ? std::min(last_end, stalls_at) : last_end);
}

void SchedulerImpl::OnLoadReport(const LoadReport& report, Time) {
  TargetState* target = dispatcher_.Targets().Find(report.target);
  if (target != nullptr) {
    target->report = report;
    target->report_leaving = report.leaving;
  }
}

void SchedulerImpl::OnCacheEvents(const TargetName& name,
                                  const std::vector<CacheEvent>& events, Time) {
  const TargetState* target = dispatcher_.Targets().Find(name);
  if (target != nullptr) {
    dispatcher_.Prefixes().OnEvents(target, events);
  }
}

SchedulerFacts SchedulerImpl::Facts(Time now) const {
  SchedulerFacts facts;
  for (const auto& [name, model] : dispatcher_.Models()) {
    if (model.floor.OwnClosed() != kNoFloor) {
      facts.closed_rank[name] = model.floor.OwnClosed();
    }
    facts.demand[name] = model.offered.Rate(now);
  }
  facts.losses = crashes_.Report();
  facts.queued = dispatcher_.Queued();
  facts.in_flight = Open() - facts.queued;
  return facts;
}

std::vector<VersionEvidence> SchedulerImpl::Evidence() const {
  return evidence_.All();
}

std::string SchedulerImpl::Explain(const RequestId& id) const {
  return dispatcher_.Log().Text(id);
}

}  // namespace hornbeamcleat
