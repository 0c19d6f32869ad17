#ifndef HORNBEAMCLEAT_SRC_MOVE_MOVE_SCHEDULE_H_
#define HORNBEAMCLEAT_SRC_MOVE_MOVE_SCHEDULE_H_

#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/config/resource.h"

namespace hornbeamcleat {

/// Share of the first step of an automatic move, in permille.
inline constexpr int kCanaryPermille = 12;

/// Share at which an automatic move bakes. The rest stays on the old version
/// as a control group, which identifies faults common to both versions.
inline constexpr int kBakePermille = 950;

/// Minimum length of any step.
inline constexpr Duration kMinStep = std::chrono::seconds(2);

/// Shares of a move in ascending order; the last one is the share of the bake.
/// @param targets number of targets to run the new version; determines the
///   share at which one target is fully loaded
std::vector<int> MoveSteps(const MoveSpec& spec, int targets);

/// Schedule of one move, computed backwards from its deadline.
struct MoveSchedule {
  /// @param started when the move was accepted
  /// @param steps number of shares
  static MoveSchedule Make(const MoveSpec& spec, WallTime started, int steps);

  /// From this time on, an unfinished move is rolled back unconditionally.
  WallTime rollback_by;
  Duration growth_step{0};  ///< planned length of a step after the first
  Duration bake{0};
  Duration slack{0};  ///< reserve for log outages and slow steps
  int steps = 0;

  /// Planned end of the first share.
  WallTime FirstShareEnd() const;

  /// Minimum time from the start of step `index` to the end of the move. Steps
  /// count from 0 to steps - 1; the last one is the bake.
  Duration MinRemaining(int index) const;

  /// Length of step `index`, which is not the bake, if it began at `since`: the
  /// planned length, or less if the move is late.
  Duration StepLength(int index, WallTime since) const;

  bool operator==(const MoveSchedule&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_MOVE_SCHEDULE_H_
