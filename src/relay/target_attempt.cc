#include "src/relay/target_attempt.h"

#include <algorithm>
#include <utility>

#include "hornbeamcleat/base/hash.h"
#include "src/serving/version_moves.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

/// An abandoned attempt without a first event counts as broken, even if the
/// caller left first, once it has lasted this multiple of the expected time and
/// at least kMinHungTime.
constexpr int kHungFactor = 4;
constexpr Duration kMinHungTime = std::chrono::milliseconds(500);

/// Pauses of a stream whose longest is compared between versions. Streams are
/// long, and a version move needs their evidence early.
constexpr int kMeasuredPauses = 8;
/// Interval of checks while it isn't known which pauses are usual.
constexpr Duration kPauseCheckPeriod = std::chrono::milliseconds(250);

}  // namespace

TargetAttempt::TargetAttempt(const Observers& observers, Request request,
                             const Placement& placement, Time now)
    : observers_(observers),
      request_(std::move(request)),
      placement_(placement),
      started_at_(now),
      new_share_(observers.moves->NewShare(request_.service)) {
  const ServingTarget* spec = observers_.targets->Find(placement_.target);
  if (spec != nullptr) {
    version_ = spec->software_version;
    incarnation_ = spec->Incarnation();
    is_counted_by_limit_ =
        observers_.targets->IsLimited(placement_.target, now);
    is_counted_as_cold_ = observers_.targets->IsCold(placement_.target, now);
  }
}

void TargetAttempt::OnSent() const {
  observers_.moves->OnSent(request_.service, request_.route, version_);
}

std::optional<Duration> TargetAttempt::OnFirstEvent(Time now) {
  if (had_first_event_) {
    return std::nullopt;
  }
  had_first_event_ = true;
  const Duration after = now - started_at_;
  finding_ = observers_.targets->OnFirstEvent(
      placement_.target, request_.prompt_tokens, after,
      placement_.ExpectedAtUsualSpeed(), now);
  observers_.queue->OnFirstEvent(request_.service, after, placement_.expected);
  return after;
}

void TargetAttempt::OnStreamBytes(Time now) {
  if (last_bytes_at_.has_value() && pauses_ < kMeasuredPauses) {
    ++pauses_;
    longest_pause_ = std::max(longest_pause_, now - *last_bytes_at_);
    if (pauses_ == kMeasuredPauses) {
      ReportPauses();
    }
  }
  last_bytes_at_ = now;
}

std::optional<Time> TargetAttempt::PauseCheckDue(Time now) const {
  if (has_stalled_ || !last_bytes_at_.has_value() ||
      !observers_.moves->IsMoving(request_.service)) {
    return std::nullopt;
  }
  const std::optional<Duration> limit =
      observers_.moves->StallLimit(request_.service, request_.route);
  return limit.has_value() ? std::max(now, *last_bytes_at_ + *limit)
                           : now + kPauseCheckPeriod;
}

void TargetAttempt::CheckPause(Time now) {
  const std::optional<Duration> limit =
      observers_.moves->StallLimit(request_.service, request_.route);
  if (!has_stalled_ && limit.has_value() && last_bytes_at_.has_value() &&
      now - *last_bytes_at_ >= *limit) {
    has_stalled_ = true;
    observers_.moves->OnFailed(request_.service, request_.route, version_);
  }
}

void TargetAttempt::ReportPauses() const {
  if (!has_stalled_ && pauses_ > 0) {
    observers_.moves->OnPauses(request_.service, request_.route, version_,
                               longest_pause_);
  }
}

void TargetAttempt::Finish(TargetOutcome outcome, bool may_have_run, Time now) {
  const Duration held_for = now - started_at_;
  observers_.moves->OnHeld(request_.service, request_.route, version_,
                           held_for);
  if (outcome == TargetOutcome::kAbandoned && !had_first_event_ &&
      may_have_run && held_for > kMinHungTime &&
      held_for > placement_.expected * kHungFactor) {
    outcome = TargetOutcome::kBroken;
  }
  observers_.targets->OnEnded(placement_.target, request_.prompt_tokens,
                              had_first_event_, outcome, now);
  if (outcome == TargetOutcome::kAnswered ||
      outcome == TargetOutcome::kRejected) {
    observers_.queue->OnSlotReleased(request_.service, held_for);
  }
  if (pauses_ < kMeasuredPauses && (outcome == TargetOutcome::kAnswered ||
                                    outcome == TargetOutcome::kAbandoned)) {
    // The pause in which a caller leaves has lasted at least so long.
    if (outcome == TargetOutcome::kAbandoned && last_bytes_at_.has_value()) {
      longest_pause_ = std::max(longest_pause_, now - *last_bytes_at_);
    }
    ReportPauses();
  }
  ReportToMoves(outcome, now);
}

void TargetAttempt::ReportToMoves(TargetOutcome outcome, Time now) const {
  if (has_stalled_) {
    return;
  }
  if (outcome == TargetOutcome::kLost) {
    observers_.moves->OnLost(request_.service, request_.route, version_,
                             Hash32(incarnation_), now);
    return;
  }
  if (outcome == TargetOutcome::kRejected) {
    observers_.moves->OnRejected(request_.service, request_.route, version_,
                                 new_share_);
    return;
  }
  const bool is_answered = outcome == TargetOutcome::kAnswered;
  if (outcome == TargetOutcome::kFailed || outcome == TargetOutcome::kBroken ||
      (is_answered && finding_.is_late)) {
    observers_.moves->OnFailed(request_.service, request_.route, version_);
  } else if (is_answered) {
    observers_.moves->OnAnswered(request_.service, request_.route, version_,
                                 finding_.slowness);
  }
}

}  // namespace hornbeamcleat
