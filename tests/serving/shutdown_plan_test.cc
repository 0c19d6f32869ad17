#include "src/serving/shutdown_plan.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

TEST(ShutdownTimesTest, TimesFollowGraceInTheirOrder) {
  for (const int grace_ms : {100, 500, 1'000, 2'000, 4'000, 8'000, 60'000}) {
    const ShutdownTimes times = ShutdownTimes::ForGrace(milliseconds(grace_ms));
    EXPECT_GT(times.serve, Duration(0)) << grace_ms;
    EXPECT_LT(times.serve, times.answer) << grace_ms;
    EXPECT_LE(times.min_exit, times.answer) << grace_ms;
    EXPECT_LT(times.answer, times.exit) << grace_ms;
    EXPECT_LT(times.exit, milliseconds(grace_ms)) << grace_ms;
    // Half of the grace at least is left for what was taken last.
    EXPECT_LE(times.serve * 2, milliseconds(grace_ms)) << grace_ms;
  }
}

TEST(ShutdownTimesTest, LongGraceServesAsLongAsCallersCacheAddresses) {
  const ShutdownTimes times = ShutdownTimes::ForGrace(milliseconds(8'000));
  EXPECT_EQ(times.serve, milliseconds(2'500));
  EXPECT_EQ(times.min_exit, milliseconds(3'500));
  EXPECT_EQ(times.exit, milliseconds(7'700));
}

TEST(RequestDurationsTest, RequestFitsIfOthersTookLessThanIsLeft) {
  RequestDurations durations;
  EXPECT_TRUE(durations.FitsInto("r", milliseconds(1)));
  EXPECT_FALSE(durations.FitsInto("r", Duration(0)));
  durations.OnAnswered("r", milliseconds(1'000));
  durations.OnAnswered("r", milliseconds(10));
  EXPECT_FALSE(durations.FitsInto("r", milliseconds(1'200)));
  EXPECT_TRUE(durations.FitsInto("r", milliseconds(1'250)));
  EXPECT_TRUE(durations.FitsInto("other", milliseconds(10)));
}

TEST(RequestDurationsTest, LongOnesAreForgottenWithManyShortOnes) {
  RequestDurations durations;
  durations.OnAnswered("r", milliseconds(8'000));
  for (int i = 0; i < 200; ++i) {
    durations.OnAnswered("r", milliseconds(50));
  }
  EXPECT_TRUE(durations.FitsInto("r", milliseconds(300)));
}

}  // namespace
}  // namespace hornbeamcleat
