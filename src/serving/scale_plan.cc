#include "src/serving/scale_plan.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Peers are told at once of a change, but not more often than this.
constexpr Duration kLeastGap = milliseconds(2);
/// The gap grows with the square of the number of VMs, so that messages to one
/// VM stay below 2,200 a second at the 34 VMs of the largest domain.
constexpr Duration kGapPerPair = microseconds(16);
constexpr Duration kHeartbeat = milliseconds(250);
constexpr Duration kFarHeartbeat = milliseconds(1'000);
constexpr Duration kNearDetails = milliseconds(500);
constexpr Duration kFarDetails = milliseconds(2'000);
/// VMs that may choose among all targets without rushing to the same one.
constexpr double kPromptPeers = 12;
/// Bytes between domains are paid for.
constexpr double kNearByMs = 4;
/// Work of other domains is known a second late, so their targets are for
/// overflow.
constexpr double kOverflowMs = 60;
/// Parts of a removed key's longest life that a read of the configuration
/// waits. A proof is two waits old at the most; the rest is for a lost answer.
constexpr int kConfigWaitPercent = 20;
constexpr int kLargeConfigWaitPercent = 34;
/// Silent connections to the store must show soon, however long keys live.
constexpr Duration kLongestConfigWait = milliseconds(1'700);
constexpr Duration kTargetWait = milliseconds(2'000);
constexpr Duration kLargeTargetWait = milliseconds(2'800);
constexpr Duration kMemberWait = milliseconds(10'000);
constexpr Duration kLargeMemberWait = milliseconds(20'000);
/// Changes come in bursts; one read then takes several.
constexpr Duration kLargeReadGap = milliseconds(1000);
/// Parts of the time for which a leaving target may be used: two gaps and the
/// read itself must fit.
constexpr int kLeaveParts = 3;
constexpr Duration kLargeConfigReadGap = milliseconds(150);

}  // namespace

ScalePlan PlanForScale(int members, int near, Duration key_limit,
                       Duration leave_time) {
  ScalePlan plan;
  plan.is_domain_scoped = members > ScalePlan::kSmallMembers;
  const int reached = plan.is_domain_scoped ? near : members;
  plan.min_change_interval =
      std::max(kLeastGap, kGapPerPair * reached * reached);
  plan.near_period = kHeartbeat;
  plan.remote_heartbeat_period =
      plan.is_domain_scoped ? kFarHeartbeat : kHeartbeat;
  plan.local_details_period = plan.is_domain_scoped ? kNearDetails : kHeartbeat;
  plan.remote_details_period = plan.is_domain_scoped ? kFarDetails : kHeartbeat;
  plan.remote_timeout_factor = plan.is_domain_scoped ? 4 : 1;
  plan.candidate_share = std::min(1.0, kPromptPeers / reached);
  plan.remote_domain_cost_ms = plan.is_domain_scoped ? kOverflowMs : kNearByMs;
  const int percent =
      plan.is_domain_scoped ? kLargeConfigWaitPercent : kConfigWaitPercent;
  plan.config_poll_timeout =
      std::min(kLongestConfigWait, key_limit * percent / 100);
  plan.target_poll_timeout =
      plan.is_domain_scoped ? kLargeTargetWait : kTargetWait;
  plan.member_poll_timeout =
      plan.is_domain_scoped ? kLargeMemberWait : kMemberWait;
  plan.min_target_interval =
      plan.is_domain_scoped ? std::min(kLargeReadGap, leave_time / kLeaveParts)
                            : Duration(0);
  plan.min_config_interval =
      plan.is_domain_scoped ? kLargeConfigReadGap : Duration(0);
  return plan;
}

}  // namespace hornbeamcleat
