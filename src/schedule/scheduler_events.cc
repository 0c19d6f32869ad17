#include <algorithm>
#include <variant>

#include "src/schedule/scheduler_impl.h"

namespace hornbeamcleat {
namespace {

/// Minimum time without dispatches to a target after it did not run a request.
constexpr Duration kPauseAfterNotRun = std::chrono::milliseconds(100);
/// Time without dispatches to a target after it was lost.
constexpr Duration kPauseAfterLoss = std::chrono::seconds(1);
/// Stall timeout for the first part, as a multiple of the target's average
/// first-part time.
constexpr double kFirstPartTimeoutFactor = 4;

}  // namespace

Actions SchedulerImpl::OnEvent(const RequestEvent& event, Time now) {
  Actions actions;
  const RequestId& id =
      std::visit([](const auto& e) -> const RequestId& { return e.id; }, event);
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return actions;
  }
  RequestState* request = it->second.get();
  ModelState* model = request->model;
  std::visit([&](const auto& e) { On(e, request, now, &actions); }, event);
  const bool frees_no_credit = std::holds_alternative<RequestSent>(event) ||
                               std::holds_alternative<PartsReceived>(event) ||
                               std::holds_alternative<Resumed>(event);
  if (!frees_no_credit) {
    dispatcher_.Dispatch(model, now, &actions);
  }
  return actions;
}

void SchedulerImpl::On(const IntentDecided& event, RequestState* request,
                       Time now, Actions* actions) {
  if (request->phase != Phase::kRecordingIntent) {
    return;
  }
  switch (event.result) {
    case IntentResult::kWon:
      request->intent_held = true;
      if (request->target->Open() &&
          !request->model->floor.Closed(request->route->rank)) {
        dispatcher_.Send(request, now, actions);
      } else {
        dispatcher_.ReleaseCredit(request);
        Requeue(request, now, actions);
      }
      return;
    case IntentResult::kLost:
      Refuse(request, Outcome::kUnknown, Reason::kDuplicate, now, actions);
      return;
    case IntentResult::kUnavailable:
      Refuse(request, Outcome::kNotRun, Reason::kLogUnavailable, now, actions);
      return;
    case IntentResult::kExpired:
      // An attempt that is no longer in the log may have run.
      Refuse(request, Outcome::kUnknown, Reason::kKeyExpired, now, actions);
      return;
  }
}

void SchedulerImpl::On(const TargetNotRun& event, RequestState* request,
                       Time now, Actions* actions) {
  const bool before_sending = request->phase == Phase::kDispatched;
  const bool after_sending = request->phase == Phase::kSent;
  if (after_sending && !event.reported_by_target) {
    // Once bytes may have arrived, only the target itself can report "not run".
    On(ConnectionLost{event.id}, request, now, actions);
    return;
  }
  if (!before_sending && !after_sending) {
    return;
  }
  TargetState* target = request->target;
  target->paused_until =
      std::max(target->paused_until,
               now + std::max(event.retry_after, kPauseAfterNotRun));
  if (event.reported_by_target) {
    target->limit.OnRejected();
  } else {
    crashes_.OnUnreached(target->name, now);
    OnTargetFault(request, now);
  }
  dispatcher_.ReleaseCredit(request);
  ++request->attempts;
  if (request->attempts >= options_.max_attempts || !retries_.Take()) {
    Refuse(request, Outcome::kNotRun, Reason::kTargetRefused, now, actions);
    return;
  }
  Requeue(request, now, actions);
}

void SchedulerImpl::Requeue(RequestState* request, Time now, Actions* actions) {
  if (request->verdict != CrashTracker::Verdict::kTrial &&
      crashes_.IsRefused(request->spec)) {
    Refuse(request, Outcome::kNotRun, Reason::kPoison, now, actions);
    return;
  }
  if (request->model->floor.Closed(request->route->rank)) {
    Refuse(request, Outcome::kNotRun, Reason::kDisplaced, now, actions);
    return;
  }
  dispatcher_.Push(request);
  timers_.Set(request, std::max(now, request->latest_start));
}

void SchedulerImpl::On(const RequestSent&, RequestState* request, Time now,
                       Actions*) {
  if (request->phase != Phase::kDispatched) {
    return;
  }
  if (request->attempts == 0) {
    retries_.OnFirstAttempt();
  }
  Explain(*request, nullptr, now);
  request->phase = Phase::kSent;
  request->run = crashes_.OnSent(request->spec, request->target->name,
                                 request->verdict, now);
  request->stall_timeout = std::max(
      options_.stall_time, FromSeconds(kFirstPartTimeoutFactor *
                                       request->target->speed.FirstPart()));
  OnProgress(request, now);
}

void SchedulerImpl::On(const PartsReceived& event, RequestState* request,
                       Time now, Actions*) {
  if (request->target == nullptr || request->phase == Phase::kRecordingIntent) {
    return;
  }
  RecordParts(request, event.parts, now);
  request->phase = Phase::kSent;
  request->stall_timeout = options_.stall_time;
  OnProgress(request, now);
}

void SchedulerImpl::RecordParts(RequestState* request, std::uint32_t parts,
                                Time now) {
  TargetState* target = request->target;
  if (request->parts == 0) {
    const double seconds = ToSeconds(now - request->dispatched_at);
    target->speed.OnFirstPart(seconds, now);
    target->limit.OnFirstPart(seconds);
    target->hardware_speed->OnFirstPart(seconds, now);
    evidence_.FirstPart(target->spec.version, *request->route,
                        now - request->dispatched_at);
    request->began_at = now;
    crashes_.OnBegun(request->run, now);
  } else if (parts > request->parts) {
    const double n = parts - request->parts;
    const double gap = ToSeconds(now - request->last_parts_at) / n;
    target->speed.OnGap(gap, n, now);
    target->limit.OnGap(gap, n);
    target->hardware_speed->OnGap(gap, n, now);
  }
  request->parts = std::max(request->parts, parts);
  request->last_parts_at = now;
}

void SchedulerImpl::On(const AnswerDone& event, RequestState* request, Time now,
                       Actions*) {
  if (request->target != nullptr && request->phase != Phase::kRecordingIntent) {
    RecordParts(request, std::max(event.parts, 1U), now);
    admission_.Lengths().OnDone(*request->route, event.parts);
    ejection_.OnSuccess(request->target);
    evidence_.Done(request->target->spec.version, *request->route);
    crashes_.OnAnswered(request->run, request->began_at, now);
  }
  Erase(request);
}

void SchedulerImpl::On(const TargetFailed&, RequestState* request, Time now,
                       Actions* actions) {
  if (request->target == nullptr || request->phase == Phase::kRecordingIntent) {
    return;
  }
  evidence_.Fault(request->target->spec.version, *request->route);
  OnTargetFault(request, now);
  Refuse(request, Outcome::kFailed, Reason::kTargetFailed, now, actions);
}

void SchedulerImpl::OnTargetFault(RequestState* request, Time now) {
  const TargetTable::Pool& pool =
      dispatcher_.Targets().OfModel(request->route->model);
  ejection_.OnFault(request->target, pool, now);
}

void SchedulerImpl::On(const ConnectionLost&, RequestState* request, Time now,
                       Actions* actions) {
  switch (request->phase) {
    case Phase::kDispatched:
    case Phase::kSent:
      request->lost_connection = true;
      Resume(request, now, actions);
      return;
    case Phase::kResuming:
      On(ResumeFailed{request->spec.id, false}, request, now, actions);
      return;
    case Phase::kQueued:
    case Phase::kRecordingIntent:
      return;
  }
}

void SchedulerImpl::On(const Resumed&, RequestState* request, Time now,
                       Actions*) {
  if (request->phase != Phase::kResuming) {
    return;
  }
  request->phase = Phase::kSent;
  request->lost_connection = false;
  // The target still knows the request, so it is slow rather than lost.
  request->stall_timeout *= 2;
  OnProgress(request, now);
}

void SchedulerImpl::On(const ResumeFailed& event, RequestState* request,
                       Time now, Actions* actions) {
  if (request->phase != Phase::kResuming) {
    return;
  }
  if (request->lost_connection) {
    // A silent target may be paused or partitioned; a closed connection
    // indicates a crash.
    crashes_.OnTargetLost(request->run, now);
  }
  if (request->lost_connection && crashes_.IsExplained(request->run)) {
    evidence_.Excluded(request->target->spec.version, *request->route);
  } else {
    evidence_.Fault(request->target->spec.version, *request->route);
  }
  if (!event.target_alive) {
    request->target->paused_until =
        std::max(request->target->paused_until, now + kPauseAfterLoss);
  }
  OnTargetFault(request, now);
  Refuse(request, Outcome::kUnknown, Reason::kTargetLost, now, actions);
  RefuseLikelyCrashes(now, actions);
}

void SchedulerImpl::On(const CallerGone&, RequestState* request, Time now,
                       Actions* actions) {
  if (request->phase == Phase::kQueued ||
      request->phase == Phase::kRecordingIntent) {
    Refuse(request, Outcome::kNotRun, Reason::kCallerGone, now, actions);
    return;
  }
  AbortInFlight(request, Reason::kCallerGone, now, actions);
}

void SchedulerImpl::OnProgress(RequestState* request, Time now) {
  request->last_progress = now;
  timers_.Set(request, std::min(now + request->stall_timeout,
                                std::max(now, request->deadline)));
}

void SchedulerImpl::Resume(RequestState* request, Time now, Actions* actions) {
  request->phase = Phase::kResuming;
  request->last_progress = now;
  actions->emplace_back(ResumeAction{request->spec.id, request->target->name,
                                     request->target->spec.address});
  timers_.Set(request, std::max(now, request->deadline));
}

}  // namespace hornbeamcleat
