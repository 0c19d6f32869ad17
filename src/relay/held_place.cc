#include "src/relay/held_place.h"

#include <utility>

#include "src/serving/version_moves.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

/// A target that held a request for this multiple of the expected time, and
/// this long at least, has failed it even if the caller left first.
constexpr int kHungFactor = 4;
constexpr Duration kLeastHung = std::chrono::milliseconds(500);

}  // namespace

HeldPlace::HeldPlace(const Watchers& watchers, Request request,
                     const Placement& placement, Time now)
    : watchers_(watchers),
      request_(std::move(request)),
      placement_(placement),
      since_(now) {
  const ServingTarget* spec = watchers_.board->Find(placement_.target);
  if (spec != nullptr) {
    version_ = spec->software_version;
  }
}

std::optional<Duration> HeldPlace::OnFirstEvent(Time now) {
  if (had_first_event_) {
    return std::nullopt;
  }
  had_first_event_ = true;
  const Duration after = now - since_;
  finding_ =
      watchers_.board->OnFirstEvent(placement_.target, request_.prompt_tokens,
                                    after, placement_.expected, now);
  return after;
}

void HeldPlace::End(TargetOutcome outcome, bool may_have_run, Time now) {
  const Duration held_for = now - since_;
  if (outcome == TargetOutcome::kAbandoned && !had_first_event_ &&
      may_have_run && held_for > kLeastHung &&
      held_for > placement_.expected * kHungFactor) {
    outcome = TargetOutcome::kBroken;
  }
  watchers_.board->OnEnded(placement_.target, request_.prompt_tokens,
                           had_first_event_, outcome, now);
  if (outcome == TargetOutcome::kAnswered) {
    watchers_.line->OnSlotReleased(request_.service, held_for);
  }
  TellMoves(outcome);
}

void HeldPlace::TellMoves(TargetOutcome outcome) const {
  const bool is_answered = outcome == TargetOutcome::kAnswered;
  if (outcome == TargetOutcome::kFailed || outcome == TargetOutcome::kBroken ||
      (is_answered && finding_.is_late)) {
    watchers_.moves->OnFailed(request_.service, request_.route, version_);
  } else if (is_answered) {
    watchers_.moves->OnAnswered(request_.service, request_.route, version_,
                                finding_.slowness);
  }
}

}  // namespace hornbeamcleat
