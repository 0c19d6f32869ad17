#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_TABLE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/config/resource.h"
#include "hornbeamcleat/schedule/cluster_view.h"
#include "hornbeamcleat/schedule/event.h"
#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/latency_limit.h"
#include "src/schedule/outlier_ejection.h"
#include "src/schedule/speed_estimate.h"

namespace hornbeamcleat {

/// State of a target as known to this entry.
struct TargetState {
  TargetState(const TargetName& target_name, const SchedulerOptions& options)
      : name(target_name),
        limit(options.first_part_target, options.part_gap_target) {}

  TargetName name;
  TargetSpec spec;
  bool configured = true;         ///< present in the configuration
  bool vm_leaving = false;        ///< according to the view
  bool report_leaving = false;    ///< according to the target's own report
  bool withdrawn = false;         ///< its version is withdrawn
  bool runs_new_version = false;  ///< runs the version that its model moves to
  bool awaits_move = false;       ///< runs a version whose move has not started
  int in_flight = 0;              ///< of this entry
  int suspects_in_flight = 0;     ///< requests suspected of crashing targets
  int credits = 1;                ///< requests this entry may have in flight
  LatencyLimit limit;             ///< requests of all entries together
  SpeedEstimate speed;
  SpeedEstimate* hardware_speed = nullptr;  ///< of its model and hardware
  TargetHealth health;
  Time paused_until;  ///< no dispatch before this time, after "not run"
  LoadReport report;

  /// Whether it may get new work.
  bool Open() const {
    return configured && !vm_leaving && !report_leaving && !withdrawn &&
           !awaits_move && !health.ejected;
  }

  /// Whether a request may use its version. A request that prefers the new
  /// version may fall back to the old one, but not the other way round.
  bool Allows(bool prefers_new_version) const {
    return prefers_new_version || !runs_new_version;
  }
};

/// Aggregate capacity and speed of a model's open targets for this entry.
struct PoolSummary {
  int targets = 0;  ///< open targets
  int credits = 0;  ///< requests that this entry may have in flight
  double mean_gap = 0.03;
  double best_gap = 0.03;
  double mean_first_part = 0.2;
  double best_first_part = 0.2;
  /// Estimates for the fastest target without load.
  double idle_gap = 0.03;
  double idle_first_part = 0.2;

  bool operator==(const PoolSummary&) const = default;
};

/// All targets known to this entry, by name and by model. Pointers stay valid
/// while a target is configured or has requests in flight.
class TargetTable {
 public:
  using Pool = std::vector<TargetState*>;

  explicit TargetTable(const SchedulerOptions& options) : options_(options) {}

  /// Applies the view's configuration, leaving VMs, withdrawals and credits.
  /// @return removed targets; the pointers dangle and are valid only as keys
  std::vector<const TargetState*> SetView(const ClusterView& view);

  /// Targets of a model; empty for an unknown model.
  const Pool& OfModel(const std::string& model) const;

  const std::map<std::string, Pool>& Pools() const { return by_model_; }

  /// Summarizes the open targets of a model. Gives this entry one credit if
  /// rounding left it none.
  PoolSummary Summarize(const std::string& model) const;

  /// Measured speed of a model on a hardware generation, used as the initial
  /// estimate for a target without samples.
  SpeedEstimate* HardwareSpeed(const TargetSpec& spec) {
    return &speed_by_hardware_[spec.model + '/' + spec.hardware];
  }

  /// Returns the target, or nullptr.
  TargetState* Find(const TargetName& name) const;

  /// Recomputes this entry's credits from the target's limit.
  void UpdateCredits(TargetState* target) const;

 private:
  void UpdateTargets(const ConfigState& config);
  void UpdateTarget(const TargetName& name, const TargetSpec& spec);
  std::vector<const TargetState*> RemoveUnconfigured();
  void IndexByModel();

  const SchedulerOptions options_;
  std::map<TargetName, std::unique_ptr<TargetState>> targets_;
  std::map<std::string, SpeedEstimate> speed_by_hardware_;
  std::map<std::string, Pool> by_model_;
  int entry_count_ = 1;
  int entry_index_ = 0;
  std::map<std::string, int> demand_permille_by_model_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_TABLE_H_
