#ifndef HORNBEAMCLEAT_SCHEDULE_CLUSTER_VIEW_H_
#define HORNBEAMCLEAT_SCHEDULE_CLUSTER_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/move/version_share.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Tier ranks above this one are open; a closed rank takes no new work.
/// kNoFloor means that all are open.
inline constexpr int kNoFloor = 1 << 20;

/// Everything the scheduler knows from outside this entry. Immutable; the
/// control daemon sends a new one on each change.
struct ClusterView {
  /// Configuration in force; nullptr until the first one is known.
  std::shared_ptr<const ConfigState> config;
  /// Moves under way, by model.
  std::map<std::string, VersionShare> shares;
  /// (model, version) pairs that get no new work, from log or gossip.
  std::set<std::pair<std::string, std::string>> withdrawn;
  /// Targets whose VM is leaving.
  std::set<TargetName> leaving;
  /// Live entries that share the targets, this one included; at least 1.
  int entry_count = 1;
  /// This entry's index among them, by name.
  int entry_index = 0;
  /// Credits per target granted by this entry's share of demand, in permille
  /// of the target's limit; missing means 1000 / entry_count.
  std::map<std::string, int> demand_permille_by_model;
  /// Least rank that a peer has closed, by model; missing means none. Work of
  /// this rank or a greater one is refused while it stands.
  std::map<std::string, int> peer_closed_rank;
  /// Content fingerprint to number of distinct targets lost to it, from peers.
  std::map<std::uint64_t, int> poison;

  bool operator==(const ClusterView&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_CLUSTER_VIEW_H_
