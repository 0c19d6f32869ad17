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

/// Parses a name given by MovePhaseName; throws Error otherwise.
MovePhase ParseMovePhase(const std::string& name);

/// State of a move that is recorded in the log; enough for any daemon to take
/// the move over.
struct MoveState {
  MovePhase phase = MovePhase::kLoading;
  int share_permille = 0;
  WallTime step_since;  ///< when the current share came into force
  std::string reason;   ///< of the last change

  bool operator==(const MoveState&) const = default;
};

/// What a controller knows at one instant, besides the log.
struct MoveInput {
  WallTime now;
  /// Merged sums of all entries, both versions.
  std::vector<VersionEvidence> evidence;
  int ready_targets = 0;   ///< that have the new version loaded
  int wanted_targets = 0;  ///< that should
  bool withdrawn = false;  ///< the new version was withdrawn, by log or peer
  bool log_available = true;
  /// When the log took the move's resource; nullopt means the first `now` that
  /// the controller sees. The schedule is laid out from here to the deadline.
  std::optional<WallTime> started;

  bool operator==(const MoveInput&) const = default;
};

/// What a controller wants done.
struct MoveDecision {
  std::optional<MoveState> advance;  ///< append it; in force once it is read
  bool withdraw = false;             ///< spread and record at once; any
                                     ///< daemon may, with or without the lease
  std::string reason;
  WallTime next_evaluation;

  bool operator==(const MoveDecision&) const = default;
};

/// Decides the steps of one move. Advancing needs the log, so it is proposed as
/// a state to append; a withdrawal needs nobody's leave. Has no I/O and keeps
/// what evidence it needs between calls; not thread-safe.
class MoveController {
 public:
  static std::unique_ptr<MoveController> Make(const std::string& name,
                                              const MoveSpec& spec,
                                              std::uint64_t seed);

  virtual ~MoveController() = default;

  /// Looks at `input` with `state` as read from the log.
  virtual MoveDecision Decide(const MoveState& state,
                              const MoveInput& input) = 0;

  /// The share in force for `state`, with the caps on requests in flight and
  /// on targets. A withdrawal, which `state` doesn't know of yet, goes before
  /// it. The cap on targets follows the last `wanted_targets` seen.
  virtual VersionShare Share(const MoveState& state) const = 0;
};

/// Earliest instant at which `spec` could be done if it starts at `now`, with
/// each step as short as it may be.
/// @param targets replicas that must load the version
/// @param load_time time for one replica to load it at the store's rate
WallTime EarliestEnd(const MoveSpec& spec, WallTime now, int targets,
                     Duration load_time);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_MOVE_CONTROLLER_H_
