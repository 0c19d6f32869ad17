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

/// Input of MoveDriver::Decide.
struct MoveDriverInput {
  std::shared_ptr<const ConfigState> config;
  std::vector<VersionEvidence> evidence;  ///< from all entries
  /// Model and version, withdrawn in the log or by gossip.
  std::set<std::pair<std::string, std::string>> withdrawn;
  std::map<std::string, int> ready_targets;  ///< by version, as queried
  /// Engines that can still load a version, by version. If a version is
  /// missing, all its targets count.
  std::map<std::string, int> attainable_targets;
  bool log_available = false;
  bool holds_lease = false;
  std::uint64_t fencing = 0;
  WallTime now;
};

/// Actions that the moves require.
struct MoveDriverOutput {
  /// Records to append; empty without the lease.
  std::vector<ConfigRecord> append;
  /// Versions to withdraw: immediately through gossip, and in the log once it
  /// is available. Does not require the lease.
  std::vector<WithdrawRecord> withdraw;
  /// Current shares on this VM, by model.
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
