#ifndef HORNBEAMCLEAT_SRC_TRIAL_TRIAL_DAEMON_H_
#define HORNBEAMCLEAT_SRC_TRIAL_TRIAL_DAEMON_H_

#include <memory>
#include <optional>

#include "hornbeamcleat/move/evidence_table.h"
#include "hornbeamcleat/move/move_controller.h"
#include "src/trial/trial_log.h"
#include "src/trial/trial_traffic.h"

namespace hornbeamcleat {

/// Control daemon of a trial: hears the entries' sums and runs a controller.
/// Only the holder of the lease appends; each may withdraw.
class TrialDaemon {
 public:
  explicit TrialDaemon(const MoveSpec& spec);

  /// Forgets all, as a new process does.
  void Restart();

  /// Takes the present sums of all live entries.
  void Hear(std::array<TrialEntry, kTrialEntries>* entries);

  /// Whether a look is due.
  bool Due(WallTime now) const { return now >= next_look_; }

  /// Looks once.
  MoveDecision Look(const TrialLog& log, int ready_targets, bool withdrawn,
                    WallTime now);

  /// The share in force for `state`.
  VersionShare Share(const MoveState& state) const;

 private:
  MoveSpec spec_;
  std::unique_ptr<EvidenceTable> table_;
  std::unique_ptr<MoveController> controller_;
  WallTime next_look_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_TRIAL_DAEMON_H_
