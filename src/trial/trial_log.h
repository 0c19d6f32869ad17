#ifndef HORNBEAMCLEAT_SRC_TRIAL_TRIAL_LOG_H_
#define HORNBEAMCLEAT_SRC_TRIAL_TRIAL_LOG_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/move/move_controller.h"

namespace hornbeamcleat {

/// Fake of the configuration log with one move. Folds records as the daemons
/// do, and can simulate an outage.
class TrialLog {
 public:
  /// Name of the move's resource.
  static constexpr const char* kMove = "m1";

  TrialLog(const MoveSpec& spec, WallTime now);

  /// Appends and folds a record.
  /// @return false if the log is down
  bool Append(const ConfigRecord& record, WallTime now);

  void SetDown(bool down) { down_ = down; }
  bool Down() const { return down_; }

  /// Recorded state of the move.
  MoveState State() const;

  /// Whether a withdrawal of the version is recorded.
  bool Withdrawn() const { return !state_.withdrawn.empty(); }

  /// Offset of the next record, used as the fencing number of a new lease term.
  std::uint64_t Next() const { return state_.revision + 1; }

 private:
  ConfigState state_;
  WallTime step_since_;
  bool down_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_TRIAL_LOG_H_
