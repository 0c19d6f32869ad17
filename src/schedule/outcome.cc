#include "hornbeamcleat/schedule/outcome.h"

namespace hornbeamcleat {

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kFailed:
      return "failed";
  }
  return "unknown";
}

const char* ReasonName(Reason reason) {
  switch (reason) {
    case Reason::kUnknownWorkspace:
      return "unknown_workspace";
    case Reason::kUnknownApplication:
      return "unknown_application";
    case Reason::kBadRequest:
      return "bad_request";
    case Reason::kNotReady:
      return "not_ready";
    case Reason::kDraining:
      return "draining";
    case Reason::kQueueFull:
      return "queue_full";
    case Reason::kTierClosed:
      return "tier_closed";
    case Reason::kDisplaced:
      return "displaced";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kNoTarget:
      return "no_target";
    case Reason::kPoison:
      return "poison";
    case Reason::kLogUnavailable:
      return "log_unavailable";
    case Reason::kKeyExpired:
      return "key_expired";
    case Reason::kDuplicate:
      return "duplicate";
    case Reason::kTargetRefused:
      return "target_refused";
    case Reason::kTargetFailed:
      return "target_failed";
    case Reason::kTargetLost:
      return "target_lost";
    case Reason::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

}  // namespace hornbeamcleat
