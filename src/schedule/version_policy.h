#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_POLICY_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_POLICY_H_

#include <map>
#include <memory>
#include <string>

#include "hornbeamcleat/schedule/cluster_view.h"
#include "src/schedule/target_table.h"

namespace hornbeamcleat {

/// Decides which versions of a model a request may use during a move.
class VersionPolicy {
 public:
  void SetView(std::shared_ptr<const ClusterView> view);

  /// Whether the move's share selects the new version for this request. False
  /// if there is no move or the new version is withdrawn.
  bool PrefersNewVersion(const std::string& model, const RequestId& id) const;

  /// Sets a target's flags that depend on the moves of its model.
  void SetMoveFlags(TargetState* target) const;

  /// Maximum number of this entry's requests in flight on the new version; 0
  /// means no limit.
  int MaxInFlightOnNewVersion(const std::string& model) const;

 private:
  const VersionShare* Share(const std::string& model) const;

  std::shared_ptr<const ClusterView> view_;
  /// New versions of declared moves that have no share yet, by model.
  std::map<std::string, std::string> not_started_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_POLICY_H_
