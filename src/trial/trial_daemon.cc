#include "src/trial/trial_daemon.h"

namespace hornbeamcleat {

TrialDaemon::TrialDaemon(const MoveSpec& spec) : spec_(spec) { Restart(); }

void TrialDaemon::Restart() {
  table_ = EvidenceTable::Make();
  controller_ = MoveController::Make(TrialLog::kMove, spec_, 1);
  next_evaluation_ = WallTime();
}

void TrialDaemon::CollectEvidence(
    std::array<TrialEntry, kTrialEntries>* entries) {
  for (int n = 0; n < kTrialEntries; ++n) {
    const TrialEntry& entry = (*entries)[n];
    if (entry.alive) {
      table_->Report("e" + std::to_string(n), entry.incarnation,
                     entry.evidence);
    }
  }
}

MoveDecision TrialDaemon::Evaluate(const TrialLog& log, int ready_targets,
                                   bool withdrawn, WallTime now) {
  MoveInput input;
  input.now = now;
  input.evidence = table_->Merged(spec_.model);
  input.ready_targets = ready_targets;
  input.wanted_targets = kTrialTargets;
  input.withdrawn = withdrawn;
  input.log_available = !log.Down();
  input.started = WallTime();
  MoveDecision decision = controller_->Decide(log.State(), input);
  next_evaluation_ = decision.next_evaluation;
  return decision;
}

VersionShare TrialDaemon::Share(const MoveState& state) const {
  return controller_->Share(state);
}

}  // namespace hornbeamcleat
