#ifndef HORNBEAMCLEAT_SRC_CONTROL_LOAD_COORDINATOR_H_
#define HORNBEAMCLEAT_SRC_CONTROL_LOAD_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/move/order_planner.h"

namespace hornbeamcleat {

/// Target to read back, for one version.
struct TargetQuery {
  TargetName target;
  std::string address;
  std::string model;
  std::string version;

  bool operator==(const TargetQuery&) const = default;
};

/// Order with the address that it goes to.
struct AddressedLoadCommand {
  LoadOrder command;
  std::string address;

  bool operator==(const AddressedLoadCommand&) const = default;
};

/// Orders to the targets of all moves under way. Plain services need none and
/// count as ready. Has no I/O; not thread-safe.
class LoadCoordinator {
 public:
  /// @param longest_order as LeaseOptions::longest_order
  explicit LoadCoordinator(Duration longest_order);

  /// Targets of new versions, which should be read back.
  std::vector<TargetQuery> TargetsToQuery(const ConfigState& config) const;

  /// Takes what a target said of a version; `sent` is when it was asked.
  void OnTargetState(const TargetQuery& target, LoadState state, Time sent);

  /// Orders to send now. Call only while the lease is held.
  std::vector<AddressedLoadCommand> Plan(const ConfigState& config,
                                         std::uint64_t fencing, Time held_since,
                                         Time now);

  /// Counts a target that could not be asked; after some it counts as dead.
  void OnTargetQueryFailed(const TargetQuery& target);

  /// Targets of each new version that can still come to have it. Those that
  /// died or failed to load it are left out, so that they don't stop the move.
  const std::map<std::string, int>& Attainable() const { return attainable_; }

  /// Targets ready with each new version.
  std::map<std::string, int> Ready(const ConfigState& config) const;

 private:
  using TargetVersion = std::pair<TargetName, std::string>;

  struct Observation {
    LoadState state = LoadState::kUnknown;
    Time sent;
    int failures = 0;  // in a row
  };

  Duration longest_order_;
  std::map<TargetVersion, Observation> observations_;
  std::map<std::string, int> attainable_;                          // by version
  std::map<std::string, std::unique_ptr<OrderPlanner>> planners_;  // by version
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_LOAD_COORDINATOR_H_
