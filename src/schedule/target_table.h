#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_TABLE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/config/resource.h"
#include "hornbeamcleat/schedule/cluster_view.h"
#include "hornbeamcleat/schedule/event.h"

namespace hornbeamcleat {

/// Requests that one target may hold at once before anything is learned.
inline constexpr double kFirstLimit = 8;

/// Target as this entry sees it.
struct TargetState {
  TargetName name;
  TargetSpec spec;
  bool configured = true;       ///< still in the configuration
  bool vm_leaving = false;      ///< from the view
  bool report_leaving = false;  ///< from its own report
  bool withdrawn = false;       ///< its version is withdrawn
  int in_flight = 0;            ///< of this entry
  int credits = 1;              ///< requests this entry may have in flight
  double limit = kFirstLimit;   ///< requests of all entries together
  Time paused_until;            ///< gets nothing before, after "not run"
  LoadReport report;

  /// Whether it may get new work at all.
  bool Open() const {
    return configured && !vm_leaving && !report_leaving && !withdrawn;
  }
};

/// All targets that this entry knows, by name and by model. Pointers stay valid
/// while a target is configured or has requests in flight.
class TargetTable {
 public:
  using Pool = std::vector<TargetState*>;

  /// Takes over a view's configuration, leaving VMs, withdrawals and credits.
  void SetView(const ClusterView& view);

  /// Targets of a model; empty for an unknown one.
  const Pool& OfModel(const std::string& model) const;

  /// The target, or nullptr.
  TargetState* Find(const TargetName& name) const;

  /// Shares out the target's limit again after it changed.
  void UpdateCredits(TargetState* target) const;

 private:
  void TakeTargets(const ConfigState& config);
  void DropGone();
  void IndexByModel();

  std::map<TargetName, std::unique_ptr<TargetState>> targets_;
  std::map<std::string, Pool> by_model_;
  int entry_count_ = 1;
  int entry_index_ = 0;
  std::map<std::string, int> demand_permille_by_model_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_TABLE_H_
