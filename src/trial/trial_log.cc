#include "src/trial/trial_log.h"

#include <variant>

namespace hornbeamcleat {

TrialLog::TrialLog(const MoveSpec& spec, WallTime now) : step_since_(now) {
  PutRecord put;
  put.resource.name = kMove;
  put.resource.spec = spec;
  Append(put, now);
}

bool TrialLog::Append(const ConfigRecord& record, WallTime now) {
  if (down_) {
    return false;
  }
  const FoldResult result = Fold(record, Next(), &state_);
  if (result == FoldResult::kApplied &&
      std::holds_alternative<MoveProgressRecord>(record)) {
    step_since_ = now;
  }
  return true;
}

MoveState TrialLog::State() const {
  MoveState out;
  out.step_since = step_since_;
  const std::map<std::string, MoveProgressRecord>::const_iterator it =
      state_.moves.find(kMove);
  if (it != state_.moves.end()) {
    out.phase = ParseMovePhase(it->second.phase);
    out.share_permille = it->second.share_permille;
    out.reason = it->second.reason;
  }
  return out;
}

}  // namespace hornbeamcleat
