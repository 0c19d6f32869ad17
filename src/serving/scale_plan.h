#ifndef HORNBEAMCLEAT_SRC_SERVING_SCALE_PLAN_H_
#define HORNBEAMCLEAT_SRC_SERVING_SCALE_PLAN_H_

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Intervals of messages to peers and reads of the store, chosen by the number
/// of VMs.
///
/// Up to kMaxFullMeshVms VMs, every VM sends each change to all others
/// immediately. In larger deployments a VM sends changes to its own failure
/// domain and only periodic heartbeats with its state to other domains, so that
/// the cost depends on the size of a domain. Polls of the store are longer, so
/// that all VMs together stay within the store's rate limits.
struct ScalePlan {
  /// Maximum number of VMs that send every change to all others.
  static constexpr int kMaxFullMeshVms = 16;

  bool is_domain_scoped = false;    ///< changes are sent within the domain only
  Duration min_change_interval{0};  ///< between two change messages
  Duration peer_read_interval{0};   ///< between two reads of peers' messages
  Duration local_heartbeat_period{0};   ///< for VMs that receive changes
  Duration remote_heartbeat_period{0};  ///< for other domains
  Duration local_details_period{0};     ///< of PeerDetails
  Duration remote_details_period{0};
  int remote_timeout_factor = 1;  ///< multiplies the timeout of remote peers
  double candidate_share = 1;  ///< fraction of targets considered per request
  double remote_domain_cost_ms = 0;  ///< of a target in another domain
  Duration config_poll_timeout{0};   ///< of a long poll for a change
  Duration target_poll_timeout{0};
  Duration member_poll_timeout{0};
  Duration min_target_interval{0};  ///< between two reads of targets
  Duration min_config_interval{0};  ///< between two reads of the configuration

  bool operator==(const ScalePlan&) const = default;
};

/// @param members number of VMs, including this one
/// @param local_members VMs in this VM's failure domain, including this one
/// @param key_limit maximum time a revoked key may be accepted; reads of the
///   configuration must confirm it well within this time
/// @param drain_time how long a draining target still accepts requests; reads
///   of targets must show the draining state well before it ends
ScalePlan PlanForScale(int members, int local_members, Duration key_limit,
                       Duration drain_time);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_SCALE_PLAN_H_
