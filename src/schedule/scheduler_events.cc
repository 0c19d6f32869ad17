#include <algorithm>
#include <variant>

#include "src/schedule/scheduler_impl.h"

namespace hornbeamcleat {
namespace {

/// Least time for which a target that did not run a request gets none.
constexpr Duration kPauseAfterNotRun = std::chrono::milliseconds(100);

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
  const std::string model = request->route.model;
  std::visit([&](const auto& e) { On(e, request, now, &actions); }, event);
  dispatcher_.Dispatch(model, now, &actions);
  return actions;
}

void SchedulerImpl::On(const IntentDecided& event, RequestState* request,
                       Time now, Actions* actions) {
  if (request->phase != Phase::kIntent) {
    return;
  }
  switch (event.result) {
    case IntentResult::kWon:
      request->intent_held = true;
      if (!request->target->Open()) {
        dispatcher_.Release(request);
        dispatcher_.Push(request);
        return;
      }
      dispatcher_.Send(request, now, actions);
      return;
    case IntentResult::kLost:
      Refuse(request, Outcome::kUnknown, Reason::kDuplicate, actions);
      return;
    case IntentResult::kUnavailable:
      Refuse(request, Outcome::kNotRun, Reason::kLogUnavailable, actions);
      return;
    case IntentResult::kExpired:
      // An attempt that the log has forgotten may have run.
      Refuse(request, Outcome::kUnknown, Reason::kKeyExpired, actions);
      return;
  }
}

void SchedulerImpl::On(const TargetNotRun& event, RequestState* request,
                       Time now, Actions* actions) {
  const bool before_sending = request->phase == Phase::kDispatched;
  const bool after_sending = request->phase == Phase::kSent;
  if (after_sending && !event.target_word) {
    // Only the target itself can say "not run" once bytes may have arrived.
    On(ConnectionLost{event.id}, request, now, actions);
    return;
  }
  if (!before_sending && !after_sending) {
    return;
  }
  request->target->paused_until =
      now + std::max(event.retry_after, kPauseAfterNotRun);
  dispatcher_.Release(request);
  ++request->attempts;
  if (request->attempts >= options_.max_attempts) {
    Refuse(request, Outcome::kNotRun, Reason::kTargetRefused, actions);
    return;
  }
  dispatcher_.Push(request);
  SetTimer(request, request->latest_start);
}

void SchedulerImpl::On(const RequestSent&, RequestState* request, Time now,
                       Actions*) {
  if (request->phase == Phase::kDispatched) {
    request->phase = Phase::kSent;
    request->stall_wait = options_.stall_time;
    Progress(request, now);
  }
}

void SchedulerImpl::On(const PartsReceived& event, RequestState* request,
                       Time now, Actions*) {
  if (request->phase == Phase::kQueued || request->phase == Phase::kIntent) {
    return;
  }
  if (request->parts == 0) {
    evidence_.FirstPart(request->target->spec.version, request->route,
                        now - request->dispatched);
  }
  request->parts = event.parts;
  request->phase = Phase::kSent;
  request->stall_wait = options_.stall_time;
  Progress(request, now);
}

void SchedulerImpl::On(const AnswerDone&, RequestState* request, Time now,
                       Actions*) {
  if (request->target != nullptr && request->phase != Phase::kIntent) {
    if (request->parts == 0) {
      evidence_.FirstPart(request->target->spec.version, request->route,
                          now - request->dispatched);
    }
    evidence_.Done(request->target->spec.version, request->route);
  }
  Erase(request);
}

void SchedulerImpl::On(const TargetFailed&, RequestState* request, Time,
                       Actions* actions) {
  if (request->target == nullptr || request->phase == Phase::kIntent) {
    return;
  }
  evidence_.Fault(request->target->spec.version, request->route);
  Refuse(request, Outcome::kFailed, Reason::kTargetFailed, actions);
}

void SchedulerImpl::On(const ConnectionLost&, RequestState* request, Time now,
                       Actions* actions) {
  switch (request->phase) {
    case Phase::kDispatched:
    case Phase::kSent:
      Resume(request, now, actions);
      return;
    case Phase::kResuming:
      On(ResumeFailed{request->spec.id, false}, request, now, actions);
      return;
    case Phase::kQueued:
    case Phase::kIntent:
      return;
  }
}

void SchedulerImpl::On(const Resumed&, RequestState* request, Time now,
                       Actions*) {
  if (request->phase != Phase::kResuming) {
    return;
  }
  request->phase = Phase::kSent;
  // The target knows the request, so it is slow rather than lost.
  request->stall_wait *= 2;
  Progress(request, now);
}

void SchedulerImpl::On(const ResumeFailed&, RequestState* request, Time,
                       Actions* actions) {
  if (request->phase != Phase::kResuming) {
    return;
  }
  evidence_.Fault(request->target->spec.version, request->route);
  Refuse(request, Outcome::kUnknown, Reason::kTargetLost, actions);
}

void SchedulerImpl::On(const CallerGone&, RequestState* request, Time,
                       Actions* actions) {
  if (request->phase == Phase::kQueued || request->phase == Phase::kIntent) {
    Refuse(request, Outcome::kNotRun, Reason::kCallerGone, actions);
    return;
  }
  GiveUpInFlight(request, Reason::kCallerGone, actions);
}

void SchedulerImpl::Progress(RequestState* request, Time now) {
  request->last_progress = now;
  SetTimer(request, std::min(now + request->stall_wait,
                             std::max(now, request->deadline)));
}

void SchedulerImpl::Resume(RequestState* request, Time now, Actions* actions) {
  request->phase = Phase::kResuming;
  request->last_progress = now;
  actions->emplace_back(ResumeAction{request->spec.id, request->target->name,
                                     request->target->spec.address});
  SetTimer(request, std::max(now, request->deadline));
}

void SchedulerImpl::GiveUpInFlight(RequestState* request, Reason reason,
                                   Actions* actions) {
  actions->emplace_back(CancelAction{request->spec.id, request->target->name,
                                     request->target->spec.address});
  Refuse(request, Outcome::kUnknown, reason, actions);
}

}  // namespace hornbeamcleat
