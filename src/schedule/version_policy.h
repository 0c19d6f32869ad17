#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_POLICY_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_POLICY_H_

#include <map>
#include <memory>
#include <string>

#include "hornbeamcleat/schedule/cluster_view.h"
#include "src/schedule/target_table.h"

namespace hornbeamcleat {

/// Which versions of a model a request may use while a move is under way.
class VersionPolicy {
 public:
  void SetView(std::shared_ptr<const ClusterView> view);

  /// Whether the move's share chooses the new version for this request. False
  /// without a move and when the new version is withdrawn.
  bool PrefersNew(const std::string& model, const RequestId& id) const;

  /// Marks a target by what the moves say of its version.
  void Mark(TargetState* target) const;

  /// Cap on this entry's requests in flight on the new version; 0 means none.
  int MaxInFlightOnNew(const std::string& model) const;

 private:
  const VersionShare* Share(const std::string& model) const;

  std::shared_ptr<const ClusterView> view_;
  /// Versions of declared moves that have no share yet, by model.
  std::map<std::string, std::string> not_started_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_POLICY_H_
