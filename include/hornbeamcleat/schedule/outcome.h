#ifndef HORNBEAMCLEAT_SCHEDULE_OUTCOME_H_
#define HORNBEAMCLEAT_SCHEDULE_OUTCOME_H_

namespace hornbeamcleat {

/// Outcome reported to the caller of a request that got no complete answer.
enum class Outcome {
  kNotRun,   ///< no target has run it; a retry is safe
  kUnknown,  ///< it may have run
  kFailed,   ///< it ran and the target reported a failure
};

/// Why a request was refused or ended. Each reason has its own counter.
enum class Reason {
  kUnknownWorkspace,
  kUnknownApplication,
  kBadRequest,
  kNotReady,        ///< no configuration yet
  kDraining,        ///< this entry is stopping
  kQueueFull,       ///< no queue space for this tier
  kTierClosed,      ///< the tier floor excludes this request's tier
  kDisplaced,       ///< evicted from the queue in favor of a higher tier
  kDeadline,        ///< its deadline cannot be met
  kNoTarget,        ///< no live target serves it
  kPoison,          ///< requests like it crashed targets
  kLogUnavailable,  ///< its intent cannot be recorded
  kKeyExpired,      ///< its idempotency key is older than the log's retention
  kDuplicate,       ///< another attempt with its key holds the intent
  kTargetRefused,   ///< targets reported "not run" until retries ran out
  kTargetFailed,    ///< the target reported a failure
  kTargetLost,      ///< the target was lost and the answer cannot be resumed
  kCallerGone,      ///< the caller disconnected
};

/// Returns "not_run", "unknown" or "failed".
const char* OutcomeName(Outcome outcome);

/// Returns the name of `reason` in snake_case, as used in metric labels and
/// answers.
const char* ReasonName(Reason reason);

/// Number of reasons, for tables indexed by Reason.
inline constexpr int kReasonCount = static_cast<int>(Reason::kCallerGone) + 1;

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_OUTCOME_H_
