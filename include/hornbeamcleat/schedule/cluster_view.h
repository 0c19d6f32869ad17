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
#include "hornbeamcleat/serving/peer_state.h"

namespace hornbeamcleat {

/// Lowest closed rank when no rank is closed. A closed rank and all greater
/// ranks take no new work.
inline constexpr int kNoFloor = 1 << 20;

/// Report of one entry on the targets that it lost.
struct SequencedLosses {
  /// Differs from that of other reports of the entry; 0 if there is none.
  std::uint64_t sequence = 0;
  LossReport report;

  bool operator==(const SequencedLosses&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, report);
  }
};

/// Snapshot of the cluster state that the scheduler depends on. Immutable; the
/// control daemon sends a new one on each change.
struct ClusterView {
  /// Active configuration; nullptr until the first one is received.
  std::shared_ptr<const ConfigState> config;
  /// Version moves in progress, by model.
  std::map<std::string, VersionShare> shares;
  /// (model, version) pairs that get no new work, as known from the log or
  /// gossip.
  std::set<std::pair<std::string, std::string>> withdrawn;
  /// Targets whose VM is leaving.
  std::set<TargetName> leaving;
  /// Number of live entries that share the targets, including this one; at
  /// least 1.
  int entry_count = 1;
  /// Index of this entry among them, in order of name.
  int entry_index = 0;
  /// Part of each target's limit granted to this entry according to its share
  /// of demand, in permille, by model. Missing means 1000 / entry_count.
  std::map<std::string, int> demand_permille_by_model;
  /// Lowest rank closed by any peer, by model; missing means none. Work of this
  /// rank or a greater one is refused while it is closed.
  std::map<std::string, int> peer_closed_rank;
  /// Targets that peers lost while they ran requests, by name of the VM.
  std::map<std::string, SequencedLosses> peer_losses;

  bool operator==(const ClusterView&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_CLUSTER_VIEW_H_
