#include "src/schedule/tier_floor.h"

#include <gtest/gtest.h>

#include "tests/schedule/scheduler_fixture.h"

namespace hornbeamcleat {
namespace {

class TierFloorTest : public testing::Test {
 protected:
  void SetUp() override { floor_.SetRanks({0, 1, 2}); }

  static Time At(int ms) { return Time(std::chrono::milliseconds(ms)); }

  TierFloor floor_{std::chrono::seconds(1), std::chrono::seconds(5)};
};

TEST_F(TierFloorTest, ShortageOfTopRankClosesOneRankPerSettleTime) {
  EXPECT_TRUE(floor_.OnShortage(0, At(1'000)));
  EXPECT_EQ(floor_.OwnClosed(), 2);
  EXPECT_FALSE(floor_.OnShortage(0, At(1'900)));
  EXPECT_TRUE(floor_.OnShortage(0, At(2'000)));
  EXPECT_EQ(floor_.OwnClosed(), 1);
}

TEST_F(TierFloorTest, MayShedOnlyAfterAllGreaterRanksSettled) {
  EXPECT_TRUE(floor_.MayShed(2, At(0)));
  EXPECT_FALSE(floor_.MayShed(1, At(10'000)));
  floor_.OnShortage(1, At(10'000));
  EXPECT_FALSE(floor_.MayShed(1, At(10'999)));
  EXPECT_TRUE(floor_.MayShed(1, At(11'000)));
  EXPECT_FALSE(floor_.MayShed(0, At(11'000)));
}

TEST_F(TierFloorTest, TickReopensOneRankPerHoldTime) {
  floor_.OnShortage(0, At(1'000));
  floor_.OnShortage(0, At(2'000));
  floor_.Tick(At(6'900));
  EXPECT_EQ(floor_.OwnClosed(), 1);
  floor_.Tick(At(7'000));
  EXPECT_EQ(floor_.OwnClosed(), 2);
  floor_.Tick(At(12'000));
  EXPECT_EQ(floor_.OwnClosed(), kNoFloor);
}

TEST_F(TierFloorTest, PeerClosingIsObeyedButNotOwned) {
  floor_.SetPeerClosed(1);
  EXPECT_TRUE(floor_.Closed(1));
  EXPECT_TRUE(floor_.Closed(2));
  EXPECT_FALSE(floor_.Closed(0));
  EXPECT_EQ(floor_.OwnClosed(), kNoFloor);
  EXPECT_FALSE(floor_.MayShed(0, At(60'000)));
}

TEST_F(TierFloorTest, LostPeerClosingRisesOneRankPerSettleTime) {
  floor_.SetPeerClosed(1);
  floor_.SetPeerClosed(kNoFloor);
  EXPECT_TRUE(floor_.Closed(1));
  floor_.Tick(At(5'000));
  EXPECT_FALSE(floor_.Closed(1));
  EXPECT_TRUE(floor_.Closed(2));
  floor_.Tick(At(5'900));
  EXPECT_TRUE(floor_.Closed(2));
  floor_.Tick(At(6'000));
  EXPECT_FALSE(floor_.Closed(2));
}

class SchedulerFloorTest : public SchedulerFixture {
 protected:
  void CloseBronze() {
    view_.peer_closed_rank = {{"m", 2}, {"pay-model", 2}};
    closed_ = Apply();
  }

  Actions closed_;
};

TEST_F(SchedulerFloorTest, PeerClosingDisplacesWaitingWorkAtOnce) {
  for (int i = 0; i < 40; ++i) {
    Submit("b" + std::to_string(i), "bronze");
  }
  const int waiting = scheduler_->Facts(now_).queued;
  ASSERT_GT(waiting, 0);
  CloseBronze();
  EXPECT_EQ(static_cast<int>(All<RefuseAction>(closed_).size()), waiting);
  for (const RefuseAction& refusal : All<RefuseAction>(closed_)) {
    EXPECT_EQ(refusal.reason, Reason::kDisplaced);
    EXPECT_GT(refusal.retry_after, Duration(0));
  }
  EXPECT_EQ(Refusal(Submit("x", "bronze")), "not_run tier_closed");
  EXPECT_EQ(scheduler_->Facts(now_).closed_rank.size(), 0U);
}

TEST_F(SchedulerFloorTest, IntentWonAfterClosingIsNotDispatched) {
  Submit("p", "bronze", "pay");
  CloseBronze();
  const Actions won = Send(IntentDecided{"p", IntentResult::kWon});
  EXPECT_TRUE(All<DispatchAction>(won).empty());
  EXPECT_EQ(Refusal(won), "not_run displaced");
}

TEST_F(SchedulerFloorTest, NotRunAfterClosingIsNotRetried) {
  Submit("b", "bronze");
  CloseBronze();
  const Actions back = Send(TargetNotRun{"b", true, Duration(0)});
  EXPECT_TRUE(All<DispatchAction>(back).empty());
  EXPECT_EQ(Refusal(back), "not_run displaced");
}

TEST_F(SchedulerFloorTest, FullQueueDisplacesLowerBeforeRefusingHigher) {
  SchedulerOptions options;
  options.max_queued = 10;
  Restart(options);
  Actions bronze;
  while (All<RefuseAction>(bronze).empty()) {
    bronze = Submit("b" + std::to_string(scheduler_->Open()), "bronze");
  }
  EXPECT_EQ(Refusal(bronze), "not_run queue_full");
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Refusal(Submit("g" + std::to_string(i))), "not_run displaced");
  }
  EXPECT_EQ(Refusal(Submit("g10")), "none");
  EXPECT_EQ(scheduler_->Facts(now_).closed_rank.at("m"), 2);
}

TEST_F(SchedulerFloorTest, ExpiryInQueueIsRefusedAtOnceAsNotRun) {
  for (int i = 0; i < 40; ++i) {
    Submit("a" + std::to_string(i), "bronze");
  }
  const int waiting = scheduler_->Facts(now_).queued;
  const Actions late = Elapse(60'000);
  int not_run = 0;
  for (const RefuseAction& refusal : All<RefuseAction>(late)) {
    not_run += refusal.outcome == Outcome::kNotRun ? 1 : 0;
  }
  EXPECT_EQ(not_run, waiting);
  EXPECT_EQ(scheduler_->Open(), 0);
}

}  // namespace
}  // namespace hornbeamcleat
