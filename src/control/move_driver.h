#ifndef HORNBEAMCLEAT_SRC_CONTROL_MOVE_DRIVER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_MOVE_DRIVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/move/version_share.h"
#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {

/// What the moves are decided on.
struct MoveDriverInput {
  std::shared_ptr<const ConfigState> config;
  std::vector<VersionEvidence> evidence;                    ///< of all entries
  std::set<std::pair<std::string, std::string>> withdrawn;  ///< log and gossip
  std::map<std::string, int> ready_targets;  ///< by version; observed
  /// Engines that can still come to have a version; a version that is missing
  /// counts all its targets.
  std::map<std::string, int> attainable_targets;
  bool log_available = false;
  bool holds_lease = false;
  std::uint64_t fencing = 0;
  WallTime now;
};

/// What the moves need done.
struct MoveDriverOutput {
  /// Records to append; empty without the lease.
  std::vector<ConfigRecord> append;
  /// Versions to withdraw at once through gossip, and in the log when it is
  /// there; any member may find them.
  std::vector<WithdrawRecord> withdraw;
  /// Shares in force here, by model.
  std::map<std::string, VersionShare> shares;
};

/// Runs a MoveController for each move in the configuration. Not thread-safe.
class MoveDriver {
 public:
  static std::unique_ptr<MoveDriver> Make(std::uint64_t seed);

  virtual ~MoveDriver() = default;

  virtual MoveDriverOutput Decide(const MoveDriverInput& input) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_MOVE_DRIVER_H_
