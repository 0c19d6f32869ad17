#ifndef HORNBEAMCLEAT_SRC_TRIAL_TRIAL_DAEMON_H_
#define HORNBEAMCLEAT_SRC_TRIAL_TRIAL_DAEMON_H_

#include <memory>
#include <optional>

#include "hornbeamcleat/move/evidence_table.h"
#include "hornbeamcleat/move/move_controller.h"
#include "src/trial/trial_log.h"
#include "src/trial/trial_traffic.h"

namespace hornbeamcleat {

/// Control daemon of a trial: collects the entries' sums and runs a controller.
/// Only the lease holder appends to the log; every daemon may withdraw.
class TrialDaemon {
 public:
  explicit TrialDaemon(const MoveSpec& spec);

  /// Discards all state, as a process restart does.
  void Restart();

  /// Reads the current sums of all live entries.
  void CollectEvidence(std::array<TrialEntry, kTrialEntries>* entries);

  /// Whether the next evaluation is due.
  bool IsDue(WallTime now) const { return now >= next_evaluation_; }

  /// Evaluates the move once.
  MoveDecision Evaluate(const TrialLog& log, int ready_targets, bool withdrawn,
                        WallTime now);

  /// The share in force for `state`.
  VersionShare Share(const MoveState& state) const;

 private:
  MoveSpec spec_;
  std::unique_ptr<EvidenceTable> table_;
  std::unique_ptr<MoveController> controller_;
  WallTime next_evaluation_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_TRIAL_DAEMON_H_
