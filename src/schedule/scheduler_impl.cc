#include "src/schedule/scheduler_impl.h"

#include <algorithm>
#include <variant>

namespace hornbeamcleat {
namespace {

/// An answer that still flows at its deadline may take this many times the
/// time allotted to the request.
constexpr int kLateAnswerFactor = 2;

}  // namespace

SchedulerImpl::SchedulerImpl(const SchedulerOptions& options)
    : options_(options), dispatcher_(options) {}

Actions SchedulerImpl::SetView(std::shared_ptr<const ClusterView> view,
                               Time now) {
  view_ = std::move(view);
  dispatcher_.SetView(view_);
  Actions actions;
  dispatcher_.DispatchAll(now, &actions);
  return actions;
}

Actions SchedulerImpl::Submit(const RequestSpec& spec, Time now) {
  Actions actions;
  Route route;
  Reason reason = Reason::kNotReady;
  if (!Resolve(spec, &route, &reason)) {
    actions.emplace_back(
        RefuseAction{spec.id, Outcome::kNotRun, reason, Duration(0)});
    return actions;
  }
  auto owned = std::make_unique<RequestState>();
  RequestState* request = owned.get();
  request->spec = spec;
  request->route = std::move(route);
  request->deadline = spec.deadline == Time::max()
                          ? now + request->route.default_deadline
                          : spec.deadline;
  request->allotted = request->deadline - now;
  request->latest_start = request->deadline;
  request->sequence = next_sequence_++;
  requests_.emplace(spec.id, std::move(owned));
  Enqueue(request, now, &actions);
  return actions;
}

bool SchedulerImpl::Resolve(const RequestSpec& spec, Route* route,
                            Reason* reason) const {
  if (draining_) {
    *reason = Reason::kDraining;
    return false;
  }
  if (view_ == nullptr || view_->config == nullptr) {
    *reason = Reason::kNotReady;
    return false;
  }
  if (!ResolveRoute(*view_->config, spec.workspace, spec.application, route,
                    reason)) {
    return false;
  }
  *reason = Reason::kBadRequest;
  const bool key_missing = !route->idempotent && spec.idempotency_key.empty();
  return !spec.id.empty() && !key_missing && !requests_.contains(spec.id);
}

void SchedulerImpl::Enqueue(RequestState* request, Time now, Actions* actions) {
  if (request->deadline <= now) {
    Refuse(request, Outcome::kNotRun, Reason::kDeadline, actions);
    return;
  }
  if (!dispatcher_.HasTarget(*request)) {
    Refuse(request, Outcome::kNotRun, Reason::kNoTarget, actions);
    return;
  }
  if (dispatcher_.Queued() >= options_.max_queued) {
    MakeRoom(*request, actions);
  }
  if (dispatcher_.Queued() >= options_.max_queued) {
    Refuse(request, Outcome::kNotRun, Reason::kQueueFull, actions);
    return;
  }
  dispatcher_.Push(request);
  SetTimer(request, request->latest_start);
  dispatcher_.Dispatch(request->route.model, now, actions);
}

void SchedulerImpl::MakeRoom(const RequestState& request, Actions* actions) {
  RequestState* last =
      dispatcher_.Displaceable(request.route.model, request.route.rank);
  if (last != nullptr) {
    Refuse(last, Outcome::kNotRun, Reason::kDisplaced, actions);
  }
}

Actions SchedulerImpl::Tick(Time now) {
  Actions actions;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    Due(timers_.begin()->second, now, &actions);
  }
  dispatcher_.DispatchAll(now, &actions);
  return actions;
}

void SchedulerImpl::Due(RequestState* request, Time now, Actions* actions) {
  const bool waits =
      request->phase == Phase::kQueued || request->phase == Phase::kIntent;
  if (waits) {
    Refuse(request, Outcome::kNotRun, Reason::kDeadline, actions);
    return;
  }
  const Time last_end =
      request->parts == 0
          ? request->deadline
          : request->deadline + (kLateAnswerFactor - 1) * request->allotted;
  if (now >= last_end) {
    GiveUpInFlight(request, Reason::kDeadline, actions);
    return;
  }
  const Time stalled = request->last_progress + request->stall_wait;
  if (request->phase == Phase::kSent && now >= stalled) {
    Resume(request, now, actions);
    return;
  }
  SetTimer(request, stalled > now ? std::min(last_end, stalled) : last_end);
}

void SchedulerImpl::SetTimer(RequestState* request, Time at) {
  timers_.erase({request->timer, request});
  request->timer = at;
  timers_.emplace(at, request);
}

void SchedulerImpl::Refuse(RequestState* request, Outcome outcome,
                           Reason reason, Actions* actions) {
  actions->emplace_back(
      RefuseAction{request->spec.id, outcome, reason, Duration(0)});
  Erase(request);
}

void SchedulerImpl::Erase(RequestState* request) {
  if (request->phase == Phase::kQueued && request->queued) {
    dispatcher_.Remove(request);
  }
  dispatcher_.Release(request);
  timers_.erase({request->timer, request});
  requests_.erase(RequestId(request->spec.id));
}

void SchedulerImpl::OnLoadReport(const LoadReport& report, Time) {
  TargetState* target = dispatcher_.Targets().Find(report.target);
  if (target != nullptr) {
    target->report = report;
    target->report_leaving = report.leaving;
  }
}

void SchedulerImpl::OnCacheEvents(const TargetName&,
                                  const std::vector<CacheEvent>&, Time) {}

SchedulerFacts SchedulerImpl::Facts(Time) const {
  SchedulerFacts facts;
  facts.queued = dispatcher_.Queued();
  facts.in_flight = Open() - facts.queued;
  return facts;
}

std::vector<VersionEvidence> SchedulerImpl::Evidence() const {
  return evidence_.All();
}

std::string SchedulerImpl::Explain(const RequestId&) const { return ""; }

}  // namespace hornbeamcleat
