#include "src/serving/scale_plan.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class ScalePlanTest : public testing::Test {};

TEST_F(ScalePlanTest, PlanForFewVmsSendsChangesToAll) {
  const ScalePlan plan =
      PlanForScale(8, 3, milliseconds(5'000), milliseconds(3'000));
  EXPECT_FALSE(plan.is_domain_scoped);
  EXPECT_EQ(plan.candidate_share, 1);
  EXPECT_LE(plan.min_change_interval, milliseconds(2));
}

// Polls that are too long for a short key limit leave the configuration
// unconfirmed; the soak test saw VMs refuse keys for half of the time.
TEST_F(ScalePlanTest, PlanConfirmsConfigWellWithinKeyLimit) {
  for (const int members : {1, 8, 86, 410}) {
    for (const Duration limit :
         {milliseconds(1'500), milliseconds(5'000), milliseconds(60'000)}) {
      const ScalePlan plan =
          PlanForScale(members, members / 4 + 1, limit, milliseconds(3'000));
      EXPECT_LT(2 * plan.config_poll_timeout, limit * 3 / 4) << members;
    }
  }
}

TEST_F(ScalePlanTest, PlanShowsDrainingTargetsWithinDrainTime) {
  for (const Duration drain_time : {milliseconds(600), milliseconds(3'000)}) {
    const ScalePlan plan =
        PlanForScale(86, 30, milliseconds(5'000), drain_time);
    EXPECT_LT(2 * plan.min_target_interval, drain_time);
  }
}

// With 410 VMs in 12 failure domains, the message rate at one VM must depend on
// the size of a domain, not on the number of VMs.
TEST_F(ScalePlanTest, PlanForManyVmsBoundsMessageRate) {
  constexpr int kMembers = 410;
  constexpr int kLocalMembers = 35;
  const ScalePlan plan = PlanForScale(kMembers, kLocalMembers,
                                      milliseconds(5'000), milliseconds(3'000));
  EXPECT_TRUE(plan.is_domain_scoped);
  const double local =
      (kLocalMembers - 1) / ToSeconds(plan.min_change_interval);
  const double remote =
      (kMembers - kLocalMembers) / ToSeconds(plan.remote_heartbeat_period);
  EXPECT_LT(local, 2'200);
  EXPECT_LT(remote, 400);
}

}  // namespace
}  // namespace hornbeamcleat
