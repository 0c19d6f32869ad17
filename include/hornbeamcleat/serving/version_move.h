#ifndef HORNBEAMCLEAT_SERVING_VERSION_MOVE_H_
#define HORNBEAMCLEAT_SERVING_VERSION_MOVE_H_

#include <array>
#include <cstdint>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Operator request to move a service's traffic to targets of one software
/// version, which run alongside targets of other versions.
struct MoveOrder {
  std::string service;
  std::string version;
  Duration time{0};  ///< from the order to its deadline

  bool operator==(const MoveOrder&) const = default;
};

enum class MoveOutcome { kInProgress, kCompleted, kRolledBack };

/// State of a move that the VMs have agreed on, as kept in the store.
struct MoveRecord {
  std::string service;
  std::string version;
  MoveOutcome outcome = MoveOutcome::kInProgress;
  WallTime started;  ///< when the first VM started the move

  bool operator==(const MoveRecord&) const = default;
};

/// Answer counts of one service and route during a move, as observed by one VM
/// since it started.
struct VersionCounts {
  std::string service;
  std::string version;  ///< target version of the move
  std::string route;
  bool is_new = false;     ///< answers of that version, or of all others
  std::uint32_t sent = 0;  ///< requests, whether they have ended or not
  /// Longest time that one of these requests has taken.
  float longest_seconds = 0;
  std::uint32_t done = 0;
  std::uint32_t faults = 0;  ///< failed, broken, or much slower than typical
  /// Sums over `done` of ln(x) and ln(x)^2, where x is the time to the first
  /// event relative to the typical time.
  float slowness_log_sum = 0;
  float slowness_log_square_sum = 0;
  std::uint32_t streams = 0;  ///< whose longest early pause was measured
  /// Likewise, sums over `streams`, where x is that pause in seconds.
  float pause_log_sum = 0;
  float pause_log_square_sum = 0;
  std::uint32_t rejected = 0;  ///< answers that blame the request
  /// Sums over `rejected` of what they tell about the new version.
  std::array<float, 3> rejection_log_ratios{};

  bool operator==(const VersionCounts&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_VERSION_MOVE_H_
