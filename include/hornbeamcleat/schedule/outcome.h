#ifndef HORNBEAMCLEAT_SCHEDULE_OUTCOME_H_
#define HORNBEAMCLEAT_SCHEDULE_OUTCOME_H_

namespace hornbeamcleat {

/// What a caller is told of a request that was not answered whole.
enum class Outcome {
  kNotRun,   ///< no target has run it; sending it again is safe
  kUnknown,  ///< it may have run
  kFailed,   ///< it ran and the target reported a failure
};

/// Why a request was refused or ended; each has its own counter.
enum class Reason {
  kUnknownWorkspace,
  kUnknownApplication,
  kBadRequest,
  kNotReady,        ///< no configuration yet
  kDraining,        ///< this entry is stopping
  kQueueFull,       ///< no room for this tier
  kTierClosed,      ///< the tier floor is above this request's tier
  kDisplaced,       ///< gave way to waiting work of a higher tier
  kDeadline,        ///< its deadline can't be met
  kNoTarget,        ///< no live target serves it
  kPoison,          ///< its content crashed targets before
  kLogUnavailable,  ///< its intent can't be recorded
  kKeyExpired,      ///< its idempotency key is older than the log keeps
  kDuplicate,       ///< another attempt with its key holds the intent
  kTargetRefused,   ///< targets said "not run" until retries were used up
  kTargetFailed,    ///< the target reported a failure
  kTargetLost,      ///< the target was lost and the answer can't be resumed
  kCallerGone,      ///< the caller left
};

/// "not_run", "unknown" or "failed".
const char* OutcomeName(Outcome outcome);

/// Name of `reason` in snake_case, used as label and in answers.
const char* ReasonName(Reason reason);

/// Number of reasons, for tables indexed by Reason.
inline constexpr int kReasonCount = static_cast<int>(Reason::kCallerGone) + 1;

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_OUTCOME_H_
