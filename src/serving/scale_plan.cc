#include "src/serving/scale_plan.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Minimum interval between two change messages.
constexpr Duration kMinChangeInterval = milliseconds(2);
/// The interval grows with the square of the number of VMs, so that one VM
/// receives fewer than 2,200 messages per second from a domain of 34 VMs.
constexpr Duration kChangeIntervalPerPair = microseconds(16);
/// Short against the age of the reports. Each waking up decides anew on all
/// waiting requests.
constexpr Duration kLargePeerReadInterval = milliseconds(4);
constexpr Duration kHeartbeatPeriod = milliseconds(250);
constexpr Duration kRemoteHeartbeatPeriod = milliseconds(1'000);
constexpr Duration kLocalDetailsPeriod = milliseconds(500);
constexpr Duration kRemoteDetailsPeriod = milliseconds(2'000);
/// Number of VMs that can choose among all targets without converging on the
/// same one.
constexpr double kMaxFullChoiceVms = 12;
/// Traffic between domains is billed.
constexpr double kRemoteDomainCostMs = 4;
/// Load of other domains is reported with a delay of a second, so their targets
/// only take overflow.
constexpr double kLargeRemoteDomainCostMs = 60;
/// Long-poll timeouts for the configuration, as percentages of the maximum time
/// a revoked key may be accepted. A confirmation is at most two polls old; the
/// remainder allows for a lost response.
constexpr int kConfigPollPercent = 20;
constexpr int kLargeConfigPollPercent = 34;
/// Bounds the time to detect a dead connection to the store, regardless of the
/// limit on revoked keys.
constexpr Duration kMaxConfigPollTimeout = milliseconds(1'700);
constexpr Duration kTargetPollTimeout = milliseconds(2'000);
constexpr Duration kLargeTargetPollTimeout = milliseconds(2'800);
constexpr Duration kMemberPollTimeout = milliseconds(10'000);
constexpr Duration kLargeMemberPollTimeout = milliseconds(20'000);
/// Changes come in bursts, so that one read returns several of them.
constexpr Duration kLargeTargetInterval = milliseconds(1000);
/// Divides the drain time of targets: two read intervals and the read itself
/// must fit into it.
constexpr int kDrainTimeDivisor = 3;
constexpr Duration kLargeConfigInterval = milliseconds(150);

}  // namespace

ScalePlan PlanForScale(int members, int local_members, Duration key_limit,
                       Duration drain_time) {
  ScalePlan plan;
  plan.is_domain_scoped = members > ScalePlan::kMaxFullMeshVms;
  const int receivers = plan.is_domain_scoped ? local_members : members;
  plan.min_change_interval = std::max(
      kMinChangeInterval, kChangeIntervalPerPair * receivers * receivers);
  plan.peer_read_interval =
      plan.is_domain_scoped ? kLargePeerReadInterval : Duration(0);
  plan.local_heartbeat_period = kHeartbeatPeriod;
  plan.remote_heartbeat_period =
      plan.is_domain_scoped ? kRemoteHeartbeatPeriod : kHeartbeatPeriod;
  plan.local_details_period =
      plan.is_domain_scoped ? kLocalDetailsPeriod : kHeartbeatPeriod;
  plan.remote_details_period =
      plan.is_domain_scoped ? kRemoteDetailsPeriod : kHeartbeatPeriod;
  plan.remote_timeout_factor = plan.is_domain_scoped ? 4 : 1;
  plan.candidate_share = std::min(1.0, kMaxFullChoiceVms / receivers);
  plan.remote_domain_cost_ms =
      plan.is_domain_scoped ? kLargeRemoteDomainCostMs : kRemoteDomainCostMs;
  const int percent =
      plan.is_domain_scoped ? kLargeConfigPollPercent : kConfigPollPercent;
  plan.config_poll_timeout =
      std::min(kMaxConfigPollTimeout, key_limit * percent / 100);
  plan.target_poll_timeout =
      plan.is_domain_scoped ? kLargeTargetPollTimeout : kTargetPollTimeout;
  plan.member_poll_timeout =
      plan.is_domain_scoped ? kLargeMemberPollTimeout : kMemberPollTimeout;
  plan.min_target_interval =
      plan.is_domain_scoped
          ? std::min(kLargeTargetInterval, drain_time / kDrainTimeDivisor)
          : Duration(0);
  plan.min_config_interval =
      plan.is_domain_scoped ? kLargeConfigInterval : Duration(0);
  return plan;
}

}  // namespace hornbeamcleat
