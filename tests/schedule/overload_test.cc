#include "bench/schedule/overload.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

/// Checks the overload experiment against the project's service targets.
class OverloadTest : public testing::TestWithParam<int> {
 protected:
  overload::Result RunAt(double load,
                         SchedulePolicy policy = SchedulePolicy::kFull) const {
    overload::Setup setup;
    setup.load = load;
    setup.policy = policy;
    setup.seed = static_cast<std::uint64_t>(GetParam());
    return overload::Overload(setup).Run();
  }
};

TEST_P(OverloadTest, TopTierAtTwiceCapacityKeepsItsGoodput) {
  const overload::Result result = RunAt(2);
  EXPECT_GE(result.goodput[0], 0.99 * result.offered[0]);
}

TEST_P(OverloadTest, AnyLoadShowsNoTierInversion) {
  for (const double load : {0.8, 1.2, 2.0}) {
    EXPECT_EQ(RunAt(load).inversions, 0) << load;
  }
}

TEST_P(OverloadTest, TotalGoodputAtTwiceCapacityHolds) {
  EXPECT_GE(RunAt(2).Total(), 0.95 * RunAt(1).Total());
}

TEST_P(OverloadTest, WastedPrefillAtTwiceCapacityStaysSmall) {
  const overload::Result result = RunAt(2);
  EXPECT_LT(result.wasted_prefill, 0.02 * result.prefill);
}

TEST_P(OverloadTest, OneQueueWithoutTiersShowsInversions) {
  EXPECT_GT(RunAt(2, SchedulePolicy::kSingleQueue).inversions, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OverloadTest, testing::Values(1, 2, 3, 4, 5));

}  // namespace
}  // namespace hornbeamcleat
