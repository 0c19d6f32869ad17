#ifndef HORNBEAMCLEAT_MOVE_MOVE_CONTROLLER_H_
#define HORNBEAMCLEAT_MOVE_MOVE_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/config/resource.h"
#include "hornbeamcleat/move/version_share.h"
#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {

/// Phase of a move. kDone and kRolledBack are final.
enum class MovePhase { kLoading, kGrowing, kBaking, kDone, kRolledBack };

/// "Loading", "Growing", "Baking", "Done" or "RolledBack".
const char* MovePhaseName(MovePhase phase);

/// Parses a name returned by MovePhaseName.
/// @throws Error with step "parse move phase" if the name is unknown
MovePhase ParseMovePhase(const std::string& name);

/// State of a move as recorded in the log; sufficient for any daemon to take
/// over the move.
struct MoveState {
  MovePhase phase = MovePhase::kLoading;
  int share_permille = 0;
  WallTime step_since;  ///< when the current share took effect
  std::string reason;   ///< why the state last changed

  bool operator==(const MoveState&) const = default;
};

/// Input of a controller at one instant, in addition to the recorded state.
struct MoveInput {
  WallTime now;
  /// Merged sums of all entries, for both versions.
  std::vector<VersionEvidence> evidence;
  int ready_targets = 0;   ///< targets that have loaded the new version
  int wanted_targets = 0;  ///< targets that should load it
  bool withdrawn = false;  ///< whether the log or a peer withdrew the version
  bool log_available = true;
  /// When the log accepted the move's resource; nullopt means the first `now`
  /// passed to the controller. The schedule runs from here to the deadline.
  std::optional<WallTime> started;

  bool operator==(const MoveInput&) const = default;
};

/// Actions requested by a controller.
struct MoveDecision {
  /// State to append to the log; it takes effect once it is read back.
  std::optional<MoveState> advance;
  /// Whether to gossip and record a withdrawal immediately. Any daemon may do
  /// so, with or without the lease.
  bool withdraw = false;
  std::string reason;
  WallTime next_evaluation;

  bool operator==(const MoveDecision&) const = default;
};

/// Decides the steps of one move. Advancing requires the log, so it is proposed
/// as a state to append; a withdrawal requires neither the log nor the lease.
/// Performs no I/O and keeps the evidence that it needs between calls. Not
/// thread-safe.
class MoveController {
 public:
  static std::unique_ptr<MoveController> Make(const std::string& name,
                                              const MoveSpec& spec,
                                              std::uint64_t seed);

  virtual ~MoveController() = default;

  /// Evaluates `input`, given `state` as read from the log.
  virtual MoveDecision Decide(const MoveState& state,
                              const MoveInput& input) = 0;

  /// The share in force for `state`, with the limits on requests in flight and
  /// on targets. A withdrawal that `state` does not contain yet overrides it.
  /// The limit on targets is derived from the last `wanted_targets` seen.
  virtual VersionShare Share(const MoveState& state) const = 0;
};

/// Earliest time at which `spec` could finish if it starts at `now` and each
/// step has its minimum length.
/// @param targets replicas that must load the version
/// @param load_time time for one replica to load it at the store's rate
WallTime EarliestEnd(const MoveSpec& spec, WallTime now, int targets,
                     Duration load_time);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_MOVE_CONTROLLER_H_
