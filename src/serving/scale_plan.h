#ifndef HORNBEAMCLEAT_SRC_SERVING_SCALE_PLAN_H_
#define HORNBEAMCLEAT_SRC_SERVING_SCALE_PLAN_H_

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// How often a VM talks to its peers and to the store, by the number of VMs.
///
/// Up to kSmallMembers VMs hear of every change of every other at once. Beyond,
/// a VM tells its own failure domain of changes and the other domains only that
/// it lives and what it holds, so that the cost follows the size of a domain;
/// reads of the store wait longer, so that all VMs together stay within its
/// rates.
struct ScalePlan {
  /// VMs that hear of each other fast enough to act as one.
  static constexpr int kSmallMembers = 16;

  bool is_domain_scoped = false;  ///< changes are told within the domain only
  Duration min_change_interval{
      0};                   ///< least time between two messages on changes
  Duration near_period{0};  ///< heartbeat within reach of changes
  Duration remote_heartbeat_period{0};  ///< heartbeat to other domains
  Duration local_details_period{
      0};  ///< findings and names, within reach of changes
  Duration remote_details_period{0};
  int remote_timeout_factor = 1;     ///< on the silence allowed to far peers
  double candidate_share = 1;        ///< targets that one request looks at
  double remote_domain_cost_ms = 0;  ///< cost of a target in another domain
  Duration config_poll_timeout{0};   ///< of a read that waits for a change
  Duration target_poll_timeout{0};
  Duration member_poll_timeout{0};
  Duration min_target_interval{0};  ///< least time between two reads of targets
  Duration min_config_interval{0};  ///< ... of the configuration

  bool operator==(const ScalePlan&) const = default;
};

/// @param members VMs in all, this one included
/// @param near VMs in this VM's failure domain, this one included
/// @param key_limit longest life of a key that was taken away: reads of the
///   configuration must prove freshness well within it
/// @param leave_time how long a target that leaves may be given work: reads of
///   targets must show it well before
ScalePlan PlanForScale(int members, int near, Duration key_limit,
                       Duration leave_time);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_SCALE_PLAN_H_
