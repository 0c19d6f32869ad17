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

/// Target as this entry sees it.
struct TargetState {
  TargetState(const TargetName& target_name, const SchedulerOptions& options)
      : name(target_name),
        limit(options.first_part_target, options.part_gap_target) {}

  TargetName name;
  TargetSpec spec;
  bool configured = true;       ///< still in the configuration
  bool vm_leaving = false;      ///< from the view
  bool report_leaving = false;  ///< from its own report
  bool withdrawn = false;       ///< its version is withdrawn
  bool on_new = false;          ///< runs the version that its model moves to
  bool unproven = false;        ///< runs a version whose move has not begun
  int in_flight = 0;            ///< of this entry
  int suspects_in_flight = 0;   ///< requests suspected of crashing targets
  int credits = 1;              ///< requests this entry may have in flight
  LatencyLimit limit;           ///< requests of all entries together
  SpeedEstimate speed;
  SpeedEstimate* generation = nullptr;  ///< of its model and hardware
  TargetHealth health;
  Time paused_until;  ///< gets nothing before, after "not run"
  LoadReport report;

  /// Whether it may get new work at all.
  bool Open() const {
    return configured && !vm_leaving && !report_leaving && !withdrawn &&
           !unproven && !health.ejected;
  }

  /// Whether a request may use its version. One that prefers the new version
  /// may fall back to the old one, never the other way round.
  bool Allows(bool prefers_new) const { return prefers_new || !on_new; }
};

/// What the open targets of a model can do for this entry.
struct PoolSummary {
  int targets = 0;  ///< open ones
  int credits = 0;  ///< requests that this entry may have in flight
  double mean_gap = 0.03;
  double best_gap = 0.03;
  double mean_first_part = 0.2;
  double best_first_part = 0.2;
  /// Of the best target without load.
  double idle_gap = 0.03;
  double idle_first_part = 0.2;

  bool operator==(const PoolSummary&) const = default;
};

/// All targets that this entry knows, by name and by model. Pointers stay valid
/// while a target is configured or has requests in flight.
class TargetTable {
 public:
  using Pool = std::vector<TargetState*>;

  explicit TargetTable(const SchedulerOptions& options) : options_(options) {}

  /// Takes over a view's configuration, leaving VMs, withdrawals and credits.
  /// @return targets that are gone; only to be compared with, not to be used
  std::vector<const TargetState*> SetView(const ClusterView& view);

  /// Targets of a model; empty for an unknown one.
  const Pool& OfModel(const std::string& model) const;

  const std::map<std::string, Pool>& Pools() const { return by_model_; }

  /// What the open targets of a model can do. Gives this entry one credit if
  /// rounding left it none.
  PoolSummary Summarize(const std::string& model) const;

  /// Learned speed of a model on a hardware generation, the first guess for a
  /// target that has not run anything yet.
  SpeedEstimate* GenerationSpeed(const TargetSpec& spec) {
    return &speed_by_hardware_[spec.model + '/' + spec.hardware];
  }

  /// The target, or nullptr.
  TargetState* Find(const TargetName& name) const;

  /// Shares out the target's limit again after it changed.
  void UpdateCredits(TargetState* target) const;

 private:
  void TakeTargets(const ConfigState& config);
  void TakeSpec(const TargetName& name, const TargetSpec& spec);
  std::vector<const TargetState*> DropGone();
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
