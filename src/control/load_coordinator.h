#ifndef HORNBEAMCLEAT_SRC_CONTROL_LOAD_COORDINATOR_H_
#define HORNBEAMCLEAT_SRC_CONTROL_LOAD_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/move/load_command_planner.h"

namespace hornbeamcleat {

/// Query for whether a target has loaded one version.
struct TargetQuery {
  TargetName target;
  std::string address;
  std::string model;
  std::string version;

  bool operator==(const TargetQuery&) const = default;
};

/// Load command with the address of its target.
struct AddressedLoadCommand {
  LoadCommand command;
  std::string address;

  bool operator==(const AddressedLoadCommand&) const = default;
};

/// Plans load commands for the targets of all moves in progress. Targets of
/// kind kService need no commands and count as ready. Does no I/O; not
/// thread-safe.
class LoadCoordinator {
 public:
  /// @param longest_order as LeaseOptions::longest_order
  explicit LoadCoordinator(Duration longest_order);

  /// Targets of new versions, whose load state must be queried.
  std::vector<TargetQuery> TargetsToQuery(const ConfigState& config) const;

  /// Handles the result of a target query that was sent at `sent`.
  void OnTargetState(const TargetQuery& target, LoadState state, Time sent);

  /// Commands to send now. Call only while the lease is held.
  std::vector<AddressedLoadCommand> Plan(const ConfigState& config,
                                         std::uint64_t fencing, Time held_since,
                                         Time now);

  /// Counts a failed query. After 5 in a row the target counts as dead.
  void OnTargetQueryFailed(const TargetQuery& target);

  /// Number of targets, by new version, that can still load it. Targets that
  /// died or failed to load it are excluded, so that they do not block the
  /// move.
  const std::map<std::string, int>& Attainable() const { return attainable_; }

  /// Number of ready targets by new version.
  std::map<std::string, int> Ready(const ConfigState& config) const;

 private:
  using TargetVersion = std::pair<TargetName, std::string>;

  struct Observation {
    LoadState state = LoadState::kUnknown;
    Time sent;
    int failures = 0;  // consecutive
  };

  Duration longest_order_;
  std::map<TargetVersion, Observation> observations_;
  std::map<std::string, int> attainable_;  // by version
  std::map<std::string, std::unique_ptr<LoadCommandPlanner>>
      planners_;  // by version
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_LOAD_COORDINATOR_H_
