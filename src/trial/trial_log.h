#ifndef HORNBEAMCLEAT_SRC_TRIAL_TRIAL_LOG_H_
#define HORNBEAMCLEAT_SRC_TRIAL_TRIAL_LOG_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/move/move_controller.h"

namespace hornbeamcleat {

/// Stand-in for the configuration stream of one move: folds records as the
/// daemons do, and can be down.
class TrialLog {
 public:
  /// Name of the move's resource.
  static constexpr const char* kMove = "m1";

  TrialLog(const MoveSpec& spec, WallTime now);

  /// Appends and folds a record.
  /// @return whether it was appended; false while the log is down
  bool Append(const ConfigRecord& record, WallTime now);

  void SetDown(bool down) { down_ = down; }
  bool Down() const { return down_; }

  /// The move as the log has it.
  MoveState State() const;

  /// Whether the log has the version as withdrawn.
  bool Withdrawn() const { return !state_.withdrawn.empty(); }

  /// Offset of the next record; a new lease term takes it as fencing number.
  std::uint64_t Next() const { return state_.revision + 1; }

 private:
  ConfigState state_;
  WallTime step_since_;
  bool down_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_TRIAL_LOG_H_
