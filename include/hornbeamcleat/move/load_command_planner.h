#ifndef HORNBEAMCLEAT_MOVE_LOAD_COMMAND_PLANNER_H_
#define HORNBEAMCLEAT_MOVE_LOAD_COMMAND_PLANNER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// State of a version on a target, as reported by the target.
enum class LoadState { kUnknown, kAbsent, kLoading, kLoaded };

/// Last observation of one version on a target.
struct ObservedTarget {
  TargetName target;
  bool live = true;  ///< false if it is dead or its VM is leaving
  LoadState state = LoadState::kUnknown;
  Time observed;  ///< when the read that returned `state` was sent
  bool checks_fencing = false;

  bool operator==(const ObservedTarget&) const = default;
};

/// Command to one target, to be sent with the lease's fencing number.
struct LoadCommand {
  TargetName target;
  std::string model;
  std::string version;
  bool load = true;  ///< false to unload
  std::uint64_t fencing = 0;

  bool operator==(const LoadCommand&) const = default;
};

/// Options of a LoadCommandPlanner.
struct LoadCommandPlannerOptions {
  /// Concurrent loads that the weight store's rate allows.
  int max_loading = 1;
  /// Maximum time that a command may be in flight, as in
  /// LeaseOptions::longest_order.
  Duration longest_order = std::chrono::seconds(5);
  /// A load that takes longer has failed, and another target is tried.
  Duration load_timeout = std::chrono::minutes(10);
  /// Commands sent to one target before it is excluded.
  int max_orders = 3;

  bool operator==(const LoadCommandPlannerOptions&) const = default;
};

/// Input of a planner at one instant.
struct LoadPlannerInput {
  Time now;
  std::uint64_t fencing = 0;  ///< fencing number of this daemon's lease
  Time held_since;            ///< when this daemon acquired the lease
  /// Targets that may run the version, in order of preference.
  std::vector<ObservedTarget> candidates;
  int wanted = 0;  ///< number of candidates that should have it loaded

  bool operator==(const LoadPlannerInput&) const = default;
};

/// Commands to send and progress so far.
struct LoadCommandPlan {
  std::vector<LoadCommand> orders;  ///< commands to send now
  int ready = 0;                    ///< live targets that have the version
  /// `wanted`, or fewer if not enough usable targets remain.
  int attainable = 0;
  std::vector<TargetName> excluded;  ///< targets that failed to load it

  bool operator==(const LoadCommandPlan&) const = default;
};

/// Plans the commands that load one version on a number of targets, or unload
/// it. Level-triggered: commands are derived from the desired and the observed
/// state. A command is repeated only after a read that was sent when the
/// previous command could no longer be in flight, so a lost response is retried
/// safely. A target that ignores fencing numbers gets no command until those of
/// the previous lease holder have expired. A target that dies or fails is
/// replaced by the next candidate or, if there is none, excluded. Performs no
/// I/O; not thread-safe.
class LoadCommandPlanner {
 public:
  static std::unique_ptr<LoadCommandPlanner> Make(
      const std::string& model, const std::string& version,
      const LoadCommandPlannerOptions& options);

  virtual ~LoadCommandPlanner() = default;

  /// Commands to load the version on `wanted` candidates. The returned commands
  /// count as sent.
  virtual LoadCommandPlan PlanLoads(const LoadPlannerInput& input) = 0;

  /// Commands to unload it from all but the first `wanted` candidates that have
  /// it.
  virtual LoadCommandPlan PlanUnloads(const LoadPlannerInput& input) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_LOAD_COMMAND_PLANNER_H_
