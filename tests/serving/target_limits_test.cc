#include "src/serving/target_limits.h"

#include <gtest/gtest.h>

#include <limits>
#include <optional>
#include <vector>

#include "hornbeamcleat/base/hash.h"
#include "src/serving/target_balancer.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetLimitsTest : public testing::Test {
 protected:
  TargetLimitsTest() {
    limits_.SetShareSource([this](const TargetInstance&) { return share_; });
    share_.takes_part = true;
  }

  bool IsLimited(const TargetInstance& target) const {
    return limits_.Find(target, now_).has_value();
  }

  double LimitOf(const TargetInstance& target) const {
    const std::optional<TargetLimits::Limit> limit = limits_.Find(target, now_);
    return limit.has_value() ? limit->per_second : -1;
  }

  TargetLimits limits_;
  VmShare share_;
  Time now_ = Time() + seconds(1'000);
  const TargetInstance target_ = {7, 1};
};

TEST_F(TargetLimitsTest, LowerLimitCountsAtOnceAndHigherOneAfterASecond) {
  EXPECT_TRUE(limits_.OnStated(target_, 4, now_));
  now_ += milliseconds(100);
  EXPECT_TRUE(limits_.OnStated(target_, 2, now_));
  EXPECT_EQ(LimitOf(target_), 2);
  // Out of order on another connection.
  now_ += milliseconds(100);
  EXPECT_FALSE(limits_.OnStated(target_, 8, now_));
  EXPECT_EQ(LimitOf(target_), 2);
  now_ += milliseconds(1'000);
  EXPECT_TRUE(limits_.OnStated(target_, 8, now_));
  EXPECT_EQ(LimitOf(target_), 8);
}

TEST_F(TargetLimitsTest, FlickeringLimitIsTakenForTheLowestOne) {
  for (int i = 0; i < 100; ++i) {
    limits_.OnStated(target_, i % 2 == 0 ? 1 : 20, now_);
    now_ += milliseconds(50);
  }
  EXPECT_EQ(LimitOf(target_), 1);
}

TEST_F(TargetLimitsTest, AnswerWithoutLimitEndsItIfItsRequestWasSentLater) {
  limits_.OnStated(target_, 2, now_);
  const Time before = now_ - milliseconds(500);
  now_ += milliseconds(500);
  EXPECT_FALSE(limits_.OnUnlimitedAnswer(target_, before, now_));
  // Too soon: other answers may state it still.
  EXPECT_FALSE(
      limits_.OnUnlimitedAnswer(target_, now_ - milliseconds(10), now_));
  now_ += milliseconds(1'000);
  EXPECT_FALSE(limits_.OnUnlimitedAnswer(target_, before, now_));
  EXPECT_TRUE(IsLimited(target_));
  EXPECT_TRUE(
      limits_.OnUnlimitedAnswer(target_, now_ - milliseconds(10), now_));
  EXPECT_FALSE(IsLimited(target_));
  EXPECT_EQ(limits_.OpensAt(target_, now_), now_);
}

TEST_F(TargetLimitsTest, NewStartHasNoLimitAndEarlierOneCannotStateOne) {
  limits_.OnStated(target_, 2, now_);
  const TargetInstance restarted = {7, 2};
  EXPECT_TRUE(limits_.OnStated(restarted, 3, now_));
  EXPECT_FALSE(limits_.OnStated(target_, 1, now_));
  EXPECT_EQ(LimitOf(restarted), 3);
  EXPECT_FALSE(IsLimited({7, 3}));
}

TEST_F(TargetLimitsTest, PeerTellsLimitAndItsEnd) {
  EXPECT_TRUE(limits_.OnNotice({target_, false, 2.0F, 100}, now_));
  EXPECT_EQ(LimitOf(target_), 2);
  // An end from before the statement is out of date.
  EXPECT_FALSE(limits_.OnNotice({target_, true, 2.0F, 200}, now_));
  EXPECT_TRUE(IsLimited(target_));
  EXPECT_TRUE(limits_.OnNotice({target_, true, 2.0F, 50}, now_));
  EXPECT_FALSE(IsLimited(target_));
  // So is a statement from before the end.
  EXPECT_FALSE(limits_.OnNotice({target_, false, 2.0F, 80}, now_));
  EXPECT_FALSE(IsLimited(target_));
}

TEST_F(TargetLimitsTest, OddNoticesOfPeersAreIgnored) {
  for (const float odd : {-1.0F, std::numeric_limits<float>::quiet_NaN(),
                          std::numeric_limits<float>::infinity()}) {
    EXPECT_FALSE(limits_.OnNotice({target_, false, odd, 0}, now_));
  }
  EXPECT_FALSE(IsLimited(target_));
}

TEST_F(TargetLimitsTest, StartedPeerIsToldLimitsAndEnds) {
  limits_.OnStated(target_, 2, now_);
  const TargetInstance other = {8, 1};
  limits_.OnStated(other, 5, now_);
  now_ += seconds(2);
  limits_.OnUnlimitedAnswer(other, now_ - milliseconds(1), now_);
  TargetLimits peer;
  for (const LimitNotice& notice : limits_.AllNotices(now_)) {
    peer.OnNotice(notice, now_);
  }
  EXPECT_EQ(peer.Find(target_, now_)->per_second, 2);
  EXPECT_FALSE(peer.Find(other, now_).has_value());
  EXPECT_EQ(limits_.NoticesSince(now_, now_).size(), 1U);
}

TEST_F(TargetLimitsTest, LimitOfZeroIsAskedOnceInFourSeconds) {
  limits_.OnStated(target_, 0, now_);
  int sent = 0;
  for (int i = 0; i < 4'000; ++i) {
    now_ += milliseconds(10);
    if (limits_.OpensAt(target_, now_) <= now_) {
      limits_.OnPlaced(target_, now_);
      ++sent;
    }
  }
  EXPECT_GE(sent, 9);
  EXPECT_LE(sent, 11);
}

// A target that gets nothing says nothing.
TEST_F(TargetLimitsTest, VmsWithoutTurnTryTargetThatNobodyHearsOf) {
  constexpr int kVms = 22;
  std::vector<TargetLimits> vms(kVms);
  for (int i = 0; i < kVms; ++i) {
    TargetLimits& vm = vms[static_cast<std::size_t>(i)];
    vm.SetShareSource([i](const TargetInstance&) {
      VmShare share;
      share.takes_part = true;
      share.rank = share.overall_rank = i;
      share.heard = share.registered = share.overall = kVms;
      return share;
    });
    vm.OnStated(target_, 1, now_);
  }
  // The VM with the turn has no requests.
  std::vector<Time> tries;
  const Time start = now_;
  while (now_ < start + seconds(100)) {
    now_ += milliseconds(10);
    for (std::size_t i = 1; i < vms.size(); ++i) {
      if (vms[i].OpensAt(target_, now_) <= now_) {
        vms[i].OnPlaced(target_, now_);
        tries.push_back(now_);
      }
    }
  }
  ASSERT_FALSE(tries.empty());
  EXPECT_LE(tries.front() - start, seconds(13));
  EXPECT_GE(tries.size(), 30U);
  EXPECT_LE(tries.size(), 50U);
}

TEST_F(TargetLimitsTest, RequestPlacedBeforeLimitWasKnownIsCountedWhenSent) {
  share_.takes_part = true;
  limits_.OnStated(target_, 1, now_);
  EXPECT_FALSE(limits_.ConfirmSend(target_, false, now_));
  EXPECT_TRUE(limits_.ConfirmSend(target_, true, now_));
  now_ += seconds(2);
  EXPECT_TRUE(limits_.ConfirmSend(target_, false, now_));
  EXPECT_FALSE(limits_.ConfirmSend(target_, false, now_));
}

TEST_F(TargetLimitsTest, ThousandsOfTargetsStayWithinMemory) {
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    limits_.OnStated({i, 1}, 2, now_ + milliseconds(i));
  }
  EXPECT_EQ(limits_.Size(), 8'192U);
  EXPECT_TRUE(limits_.Find({9'999, 1}, now_).has_value());
  EXPECT_FALSE(limits_.Find({0, 1}, now_).has_value());
}

/// Placement and waiting where targets state limits.
class LimitedServiceTest : public testing::Test {
 protected:
  LimitedServiceTest() {
    balancer_.Limits()->SetShareSource(
        [this](const TargetInstance&) { return share_; });
    share_.takes_part = true;
    for (const char* id : {"a", "b"}) {
      ServingTarget spec;
      spec.id = id;
      spec.service = "s";
      spec.address = "127.0.0.1:1";
      spec.slots = 4;
      specs_.push_back(spec);
    }
    balancer_.SetTargets(specs_, now_);
  }

  void Limit(std::size_t target, double per_second) {
    balancer_.Limits()->OnStated(TargetInstance::Of(specs_[target]), per_second,
                                 now_);
  }

  WaitingRequest Waiting(std::uint64_t id, int rank = 0) const {
    WaitingRequest request;
    request.id = id;
    request.rank = rank;
    request.arrival = now_;
    request.objective_deadline = now_ + milliseconds(400);
    request.deadline = now_ + seconds(3);
    request.need.service = "s";
    request.need.seed = static_cast<std::uint32_t>(id * 2'654'435'761U);
    return request;
  }

  std::vector<WaitDecision> Decide() { return queue_.Decide(now_); }

  TargetBalancer balancer_;
  WaitQueue queue_{&balancer_};
  VmShare share_;
  std::vector<ServingTarget> specs_;
  Time now_ = Time() + seconds(1'000);
};

TEST_F(LimitedServiceTest, RequestsGoElsewhereAndLimitedTargetIsUsed) {
  Limit(0, 2);
  int at_limited = 0;
  int placed = 0;
  for (int i = 0; i < 400; ++i) {
    now_ += milliseconds(25);
    queue_.Add(Waiting(static_cast<std::uint64_t>(i)));
    for (const WaitDecision& decision : Decide()) {
      ASSERT_EQ(decision.kind, WaitDecision::Kind::kPlace);
      ++placed;
      at_limited += decision.placement.target == "a" ? 1 : 0;
      balancer_.OnEnded(decision.placement.target, 0, false,
                        TargetOutcome::kAnswered, now_);
    }
  }
  EXPECT_EQ(placed, 400);
  // Ten seconds at two a second.
  EXPECT_GE(at_limited, 17);
  EXPECT_LE(at_limited, 21);
}

TEST_F(LimitedServiceTest, CallersReturnAtTheRateThatIsThere) {
  Limit(0, 2);
  Limit(1, 1);
  std::vector<double> returns;
  for (int i = 0; i < 30; ++i) {
    queue_.Add(Waiting(static_cast<std::uint64_t>(i)));
    for (const WaitDecision& decision : Decide()) {
      EXPECT_EQ(decision.kind, WaitDecision::Kind::kRefuse);
      returns.push_back(ToSeconds(decision.retry_after));
    }
  }
  ASSERT_EQ(returns.size(), 30U);
  // Three callers in each second.
  EXPECT_NEAR(returns[0], 1.0 / 3, 0.05);
  EXPECT_NEAR(returns[2], 1.0, 0.05);
  EXPECT_NEAR(returns[29], 10.0, 0.5);
}

TEST_F(LimitedServiceTest, HigherRankIsToldToReturnBeforeLowerOnes) {
  Limit(0, 2);
  Limit(1, 2);
  for (std::uint64_t i = 0; i < 20; ++i) {
    queue_.Add(Waiting(i, 2));
    Decide();
  }
  queue_.Add(Waiting(100, 0));
  const std::vector<WaitDecision> decisions = Decide();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_LT(decisions[0].retry_after, milliseconds(300));
}

TEST_F(LimitedServiceTest, RequestWaitsForTurnThatComesInTime) {
  Limit(0, 5);
  Limit(1, 5);
  queue_.Add(Waiting(1, 2));
  queue_.Add(Waiting(2, 0));
  EXPECT_TRUE(Decide().empty());
  now_ += milliseconds(205);
  const std::vector<WaitDecision> decisions = Decide();
  ASSERT_FALSE(decisions.empty());
  EXPECT_EQ(decisions[0].kind, WaitDecision::Kind::kPlace);
  EXPECT_EQ(decisions[0].id, 2U);
}

TEST_F(LimitedServiceTest, VmWithoutTurnRefusesAtOnce) {
  share_.rank = 4;
  share_.heard = share_.registered = share_.overall = 22;
  Limit(0, 2);
  Limit(1, 1);
  queue_.Add(Waiting(1));
  const std::vector<WaitDecision> decisions = Decide();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].kind, WaitDecision::Kind::kRefuse);
  EXPECT_GT(decisions[0].retry_after, Duration(0));
  EXPECT_LE(decisions[0].retry_after, seconds(20));
}

// A peer's queue can't use this VM's turn.
TEST_F(LimitedServiceTest, QueueOfPeerDoesNotHoldTurnBack) {
  Limit(0, 2);
  Limit(1, 2);
  ServiceQueue theirs;
  theirs.service = Hash32("s");
  theirs.first.resize(5);
  now_ += seconds(1);
  queue_.SetPeerQueues("peer", {theirs}, now_);
  queue_.Add(Waiting(1, 3));
  const std::vector<WaitDecision> decisions = Decide();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].kind, WaitDecision::Kind::kPlace);
}

TEST_F(LimitedServiceTest, RestAndLimitTogetherCloseTheTargetUntilBothEnd) {
  TargetStatement rest;
  rest.rest = seconds(3);
  Limit(0, 100);
  balancer_.Statements()->OnStatement(TargetInstance::Of(specs_[0]), rest,
                                      Duration(0), now_);
  now_ += seconds(1);
  PlacementNeed need;
  need.service = "s";
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(balancer_.Pick(need, now_)->target, "b");
  }
  need.tried = {"b"};
  EXPECT_EQ(balancer_.Pick(need, now_), std::nullopt);
  now_ += seconds(3);
  EXPECT_EQ(balancer_.Pick(need, now_)->target, "a");
}

// A new version that states limits keeps its share of a move.
TEST_F(LimitedServiceTest, SlotsOfLimitedVersionCountAsResting) {
  specs_[0].software_version = "v2";
  balancer_.SetTargets(specs_, now_);
  EXPECT_EQ(balancer_.RestingSlotsOf("s", "v2", now_), 0);
  Limit(0, 2);
  EXPECT_EQ(balancer_.RestingSlotsOf("s", "v2", now_), 4);
  EXPECT_EQ(balancer_.SlotsOf("s", "v2", true), 4);
}

TEST_F(LimitedServiceTest, LimitGoesOnWhileVmIsSuspended) {
  Limit(0, 0.5);
  PlacementNeed need;
  need.service = "s";
  need.tried = {"b"};
  EXPECT_EQ(balancer_.Pick(need, now_), std::nullopt);
  balancer_.SetSuspendedTime(seconds(5));
  EXPECT_EQ(balancer_.Pick(need, now_)->target, "a");
}

}  // namespace
}  // namespace hornbeamcleat
