#include <algorithm>

#include "src/schedule/scheduler_impl.h"

namespace hornbeamcleat {
namespace {

/// Share of a pool's capacity available for retries of refused callers.
constexpr double kRetryCapacityShare = 0.1;
/// Retries per second for refusals that no pool's capacity applies to.
constexpr double kDefaultRetryRate = 100;
constexpr Duration kTrialRetrySpread = std::chrono::seconds(3);

/// Whether a later retry may succeed.
bool IsRetryable(Reason reason) {
  switch (reason) {
    case Reason::kNotReady:
    case Reason::kDraining:
    case Reason::kQueueFull:
    case Reason::kTierClosed:
    case Reason::kDisplaced:
    case Reason::kDeadline:
    case Reason::kNoTarget:
    case Reason::kLogUnavailable:
    case Reason::kTargetRefused:
    case Reason::kPoison:
      return true;
    case Reason::kUnknownWorkspace:
    case Reason::kUnknownApplication:
    case Reason::kBadRequest:
    case Reason::kKeyExpired:
    case Reason::kDuplicate:
    case Reason::kTargetFailed:
    case Reason::kTargetLost:
    case Reason::kCallerGone:
      return false;
  }
  return false;
}

}  // namespace

void SchedulerImpl::Refuse(RequestState* request, Outcome outcome,
                           Reason reason, Time now, Actions* actions) {
  const Duration retry_after =
      reason == Reason::kPoison && outcome == Outcome::kNotRun
          ? RetryAfterTrial(request->spec, now)
          : RetryAfter(request->model, outcome, reason, now);
  const RefuseAction refusal{request->spec.id, outcome, reason, retry_after};
  Explain(*request, &refusal, now);
  actions->emplace_back(refusal);
  Erase(request);
}

// Callers that all came back when the next trial is due would reach all entries
// at once.
Duration SchedulerImpl::RetryAfterTrial(const RequestSpec& spec, Time now) {
  std::uniform_int_distribution<Duration::rep> spread(
      0, kTrialRetrySpread.count());
  return crashes_.TimeToTrial(spec, now) + Duration(spread(random_));
}

Duration SchedulerImpl::RetryAfter(ModelState* model, Outcome outcome,
                                   Reason reason, Time now) {
  if (outcome != Outcome::kNotRun || !IsRetryable(reason)) {
    return Duration(0);
  }
  if (model == nullptr) {
    return retry_pacer_.NextDelay(kDefaultRetryRate, now, &random_);
  }
  const PoolSummary& pool = model->pool;
  const LengthEstimate length = admission_.Lengths().PredictModel(model->name);
  const double seconds = pool.mean_first_part + length.mean * pool.mean_gap;
  const double rate = kRetryCapacityShare * std::max(1, pool.credits) / seconds;
  return model->retry_pacer.NextDelay(rate, now, &random_);
}

void SchedulerImpl::Erase(RequestState* request) {
  if (request->queued) {
    dispatcher_.Remove(request);
  }
  dispatcher_.ReleaseCredit(request);
  timers_.Cancel(request);
  requests_.erase(RequestId(request->spec.id));
}

void SchedulerImpl::Explain(const RequestState& request,
                            const RefuseAction* refusal, Time now) {
  ExplainRecord record;
  record.id = request.spec.id;
  record.route = request.route;
  if (request.target != nullptr && request.phase != Phase::kRecordingIntent) {
    record.target = request.target->name;
    record.version = request.target->spec.version;
  }
  record.attempts = request.attempts;
  const bool sent = !record.target.empty();
  record.waited =
      ToSeconds((sent ? request.dispatched_at : now) - request.spec.arrival);
  record.predicted_wait = request.predicted_wait;
  record.predicted_service = request.cost;
  if (refusal != nullptr) {
    record.refused = true;
    record.outcome = refusal->outcome;
    record.reason = refusal->reason;
  }
  dispatcher_.Log().Put(std::move(record));
}

void SchedulerImpl::AbortInFlight(RequestState* request, Reason reason,
                                  Time now, Actions* actions) {
  if (request->phase != Phase::kDispatched) {
    crashes_.OnAbandoned(request->run, now);
  }
  actions->emplace_back(CancelAction{request->spec.id, request->target->name,
                                     request->target->spec.address});
  Refuse(request, Outcome::kUnknown, reason, now, actions);
}

}  // namespace hornbeamcleat
