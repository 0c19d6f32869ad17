#ifndef HORNBEAMCLEAT_MOVE_LOAD_COMMAND_PLANNER_H_
#define HORNBEAMCLEAT_MOVE_LOAD_COMMAND_PLANNER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Whether a target has a version, by its own word.
enum class LoadState { kUnknown, kAbsent, kLoading, kLoaded };

/// What was last read from a target about one version.
struct ObservedTarget {
  TargetName target;
  bool live = true;  ///< false when it is dead or its VM is leaving
  LoadState state = LoadState::kUnknown;
  Time observed;  ///< when the read that gave `state` was sent
  bool checks_fencing = false;

  bool operator==(const ObservedTarget&) const = default;
};

/// Order to one target, to be sent with the lease's fencing number.
struct LoadCommand {
  TargetName target;
  std::string model;
  std::string version;
  bool load = true;  ///< false to unload
  std::uint64_t fencing = 0;

  bool operator==(const LoadCommand&) const = default;
};

/// Tunables of a LoadCommandPlanner.
struct LoadCommandPlannerOptions {
  /// Loads at once that the weight store's rate allows.
  int max_loading = 1;
  /// Longest time an order may be under way. As LeaseOptions::longest_order.
  Duration longest_order = std::chrono::seconds(5);
  /// A load that takes longer has failed, and another target is tried.
  Duration load_timeout = std::chrono::minutes(10);
  /// Orders to one target before it is left out.
  int max_orders = 3;

  bool operator==(const LoadCommandPlannerOptions&) const = default;
};

/// What a planner knows at one instant.
struct LoadPlannerInput {
  Time now;
  std::uint64_t fencing = 0;  ///< of the lease that this daemon holds
  Time held_since;            ///< when this daemon came to hold it
  /// Targets that may run the version, the preferred ones first.
  std::vector<ObservedTarget> candidates;
  int wanted = 0;  ///< how many of them should have it

  bool operator==(const LoadPlannerInput&) const = default;
};

/// What a planner wants done, and how far it is.
struct LoadCommandPlan {
  std::vector<LoadCommand> orders;  ///< to send now
  int ready = 0;                    ///< live targets that have the version
  /// `wanted`, or fewer if not enough usable targets are left.
  int attainable = 0;
  std::vector<TargetName> left_out;  ///< that failed to load it

  bool operator==(const LoadCommandPlan&) const = default;
};

/// Plans the orders that bring one version to a number of targets, or take it
/// away. Level-triggered: an order follows from what is wanted and what was
/// read back, and is repeated only after a read that was sent when the former
/// order could no longer be under way; so a lost answer is repeated safely. A
/// target that ignores fencing numbers gets no order until the former holder's
/// have run out. A target that dies or fails is replaced by the next candidate
/// or, if there is none, left out. Has no I/O; not thread-safe.
class LoadCommandPlanner {
 public:
  static std::unique_ptr<LoadCommandPlanner> Make(
      const std::string& model, const std::string& version,
      const LoadCommandPlannerOptions& options);

  virtual ~LoadCommandPlanner() = default;

  /// Orders to load the version on `wanted` candidates. Counts the orders as
  /// sent.
  virtual LoadCommandPlan PlanLoads(const LoadPlannerInput& input) = 0;

  /// Orders to unload it from all but the first `wanted` candidates.
  virtual LoadCommandPlan PlanUnloads(const LoadPlannerInput& input) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_LOAD_COMMAND_PLANNER_H_
