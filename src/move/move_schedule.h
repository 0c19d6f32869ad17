#ifndef HORNBEAMCLEAT_SRC_MOVE_MOVE_SCHEDULE_H_
#define HORNBEAMCLEAT_SRC_MOVE_MOVE_SCHEDULE_H_

#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/config/resource.h"

namespace hornbeamcleat {

/// Share of the first step of an automatic move, in permille.
inline constexpr int kCanaryPermille = 12;

/// Share at which an automatic move bakes. The rest stays on the old version
/// as a control group, so that a fault shared by both still shows as shared.
inline constexpr int kBakePermille = 950;

/// Shortest time that any step lasts.
inline constexpr Duration kMinStep = std::chrono::seconds(2);

/// Shares of a move, rising; the last one is the share of the bake.
/// @param targets that shall run the new version; sets the share at which one
///   target is fully loaded
std::vector<int> MoveSteps(const MoveSpec& spec, int targets);

/// Times of one move, laid out backwards from its deadline. A value.
struct MoveSchedule {
  /// @param started when the move was accepted
  /// @param steps number of shares
  static MoveSchedule Make(const MoveSpec& spec, WallTime started, int steps);

  /// From here on a move that is not done is taken back by any means.
  WallTime rollback_by;
  Duration growth_step{0};  ///< planned length of a step after the first
  Duration bake{0};
  Duration slack{0};  ///< kept for log outages and slow steps
  int steps = 0;

  /// When the first share should end.
  WallTime FirstShareEnd() const;

  /// Least time from the start of step `index` (0 to steps - 1; the last is
  /// the bake) to Done.
  Duration Least(int index) const;

  /// Length of step `index` (not the bake) if it began at `since`: as planned,
  /// or shorter when the move is late.
  Duration Length(int index, WallTime since) const;

  bool operator==(const MoveSchedule&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_MOVE_SCHEDULE_H_
