#include "src/serving/scale_plan.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class ScalePlanTest : public testing::Test {};

TEST_F(ScalePlanTest, PlanForFewVmsTellsAllOfEachChange) {
  const ScalePlan plan =
      PlanForScale(8, 3, milliseconds(5'000), milliseconds(3'000));
  EXPECT_FALSE(plan.is_domain_scoped);
  EXPECT_EQ(plan.candidate_share, 1);
  EXPECT_LE(plan.min_change_interval, milliseconds(2));
}

// Found by the soak: with a short life of keys the proofs were stale for half
// of the time.
TEST_F(ScalePlanTest, PlanProvesFreshnessWellWithinTheLifeOfKeys) {
  for (const int members : {1, 8, 86, 410}) {
    for (const Duration limit :
         {milliseconds(1'500), milliseconds(5'000), milliseconds(60'000)}) {
      const ScalePlan plan =
          PlanForScale(members, members / 4 + 1, limit, milliseconds(3'000));
      EXPECT_LT(2 * plan.config_poll_timeout, limit * 3 / 4) << members;
    }
  }
}

TEST_F(ScalePlanTest, PlanShowsLeavingTargetsWithinTheTimeTheyMayBeUsed) {
  for (const Duration leave : {milliseconds(600), milliseconds(3'000)}) {
    const ScalePlan plan = PlanForScale(86, 30, milliseconds(5'000), leave);
    EXPECT_LT(2 * plan.min_target_interval, leave);
  }
}

// Load: 410 VMs in 12 failure domains. What one VM receives must follow the
// size of a domain, not the number of VMs.
TEST_F(ScalePlanTest, PlanForManyVmsBoundsMessagesToOneVm) {
  constexpr int kMembers = 410;
  constexpr int kNear = 35;
  const ScalePlan plan =
      PlanForScale(kMembers, kNear, milliseconds(5'000), milliseconds(3'000));
  EXPECT_TRUE(plan.is_domain_scoped);
  const double near = (kNear - 1) / ToSeconds(plan.min_change_interval);
  const double far =
      (kMembers - kNear) / ToSeconds(plan.remote_heartbeat_period);
  EXPECT_LT(near, 2'200);
  EXPECT_LT(far, 400);
}

}  // namespace
}  // namespace hornbeamcleat
