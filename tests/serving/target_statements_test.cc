#include "src/serving/target_statements.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/serving/target_balancer.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetStatementsDecisionTest : public testing::Test {
 protected:
  static TargetInstance Instance(const std::string& id,
                                 std::int64_t start_time_ms = 1) {
    ServingTarget target;
    target.id = id;
    target.start_time_ms = start_time_ms;
    return TargetInstance::Of(target);
  }

  static TargetStatement Leaving() {
    TargetStatement statement;
    statement.is_leaving = true;
    return statement;
  }

  static TargetStatement Rest(Duration time) {
    TargetStatement statement;
    statement.rest = time;
    return statement;
  }

  TargetAccess Access(const std::string& id, std::int64_t start_time_ms = 1) {
    return statements_.Access(Instance(id, start_time_ms), now_);
  }

  Time now_{seconds(1'000)};
  TargetStatements statements_;
};

TEST_F(TargetStatementsDecisionTest, LeavingHoldsForThisStartAndEarlierOnes) {
  EXPECT_TRUE(statements_.OnStatement(Instance("t", 5), Leaving(), {}, now_));
  EXPECT_FALSE(statements_.OnStatement(Instance("t", 5), Leaving(), {}, now_));
  now_ += seconds(60);
  EXPECT_EQ(Access("t", 5), TargetAccess::kLeaving);
  // A record that was written before the restart.
  EXPECT_EQ(Access("t", 4), TargetAccess::kLeaving);
  EXPECT_EQ(Access("t", 6), TargetAccess::kOpen);
  EXPECT_EQ(Access("u", 5), TargetAccess::kOpen);
}

TEST_F(TargetStatementsDecisionTest, AnswerWithoutStatementTakesNothingBack) {
  statements_.OnStatement(Instance("t"), Leaving(), {}, now_);
  statements_.OnStatement(Instance("t"), TargetStatement(), {}, now_);
  statements_.OnStatement(Instance("t"), Rest(seconds(1)), {}, now_);
  statements_.OnAnswered(Instance("t"), now_);
  now_ += seconds(5);
  statements_.OnAnswered(Instance("t"), now_);
  EXPECT_EQ(Access("t"), TargetAccess::kLeaving);
}

TEST_F(TargetStatementsDecisionTest, EntryThatLapsesAndReturnsStaysLeaving) {
  statements_.SetListed({Instance("t")}, now_);
  statements_.OnStatement(Instance("t"), Leaving(), {}, now_);
  statements_.SetListed({}, now_);
  now_ += seconds(30);
  statements_.SetListed({Instance("t")}, now_);
  EXPECT_EQ(Access("t"), TargetAccess::kLeaving);
  // Without an entry it is forgotten at last.
  now_ += seconds(30);
  statements_.SetListed({}, now_);
  now_ += std::chrono::hours(1);
  statements_.SetListed({}, now_);
  EXPECT_EQ(statements_.Size(), 0U);
}

TEST_F(TargetStatementsDecisionTest, RestIsExtendedAndNeverShortened) {
  statements_.OnStatement(Instance("t"), Rest(milliseconds(2'500)), {}, now_);
  now_ += milliseconds(100);
  statements_.OnStatement(Instance("t"), Rest(milliseconds(500)), {}, now_);
  statements_.OnStatement(Instance("t"), Rest(milliseconds(0)), {}, now_);
  now_ += milliseconds(2'399);
  EXPECT_EQ(Access("t"), TargetAccess::kResting);
  now_ -= milliseconds(1'000);
  statements_.OnStatement(Instance("t"), Rest(seconds(4)), {}, now_);
  now_ += milliseconds(3'999);
  EXPECT_EQ(Access("t"), TargetAccess::kResting);
  now_ += milliseconds(1);
  EXPECT_EQ(Access("t"), TargetAccess::kTrial);
}

TEST_F(TargetStatementsDecisionTest, AnswerDuringRestDoesNotEndIt) {
  statements_.OnStatement(Instance("t"), Rest(seconds(2)), {}, now_);
  now_ += seconds(1);
  statements_.OnAnswered(Instance("t"), now_);
  EXPECT_EQ(Access("t"), TargetAccess::kResting);
  now_ += seconds(1);
  EXPECT_EQ(Access("t"), TargetAccess::kTrial);
  statements_.OnAnswered(Instance("t"), now_);
  EXPECT_EQ(Access("t"), TargetAccess::kOpen);
}

TEST_F(TargetStatementsDecisionTest, NewStartKnowsNothingOfRest) {
  statements_.OnStatement(Instance("t", 1), Rest(seconds(60)), {}, now_);
  EXPECT_EQ(Access("t", 2), TargetAccess::kOpen);
  statements_.OnStatement(Instance("t", 2), Rest(seconds(1)), {}, now_);
  now_ += seconds(1);
  EXPECT_EQ(Access("t", 2), TargetAccess::kTrial);
}

TEST_F(TargetStatementsDecisionTest, RestOfPeerIsAvoidedAndLeavingBinds) {
  statements_.OnNotice({Instance("t"), false, 2'000}, now_);
  EXPECT_EQ(Access("t"), TargetAccess::kAvoided);
  now_ += seconds(2);
  EXPECT_EQ(Access("t"), TargetAccess::kOpen);
  EXPECT_TRUE(statements_.OnNotice({Instance("t"), true, 0}, now_));
  EXPECT_FALSE(statements_.OnNotice({Instance("t"), true, 0}, now_));
  EXPECT_EQ(Access("t"), TargetAccess::kLeaving);
  // News of peers are passed on to VMs that start only.
  EXPECT_TRUE(statements_.NoticesSince(Time(), now_).empty());
  EXPECT_EQ(statements_.AllNotices(now_),
            (std::vector<TargetNotice>{{Instance("t"), true, 0}}));
}

// Eight VMs are asked for rest at the same time. The first one to return is
// turned away again; the others learn of it and wait as well.
TEST_F(TargetStatementsDecisionTest, VmsReturnInTurnAndWaitForFirstOne) {
  constexpr int kVms = 8;
  std::vector<TargetStatements> vms(kVms);
  for (int i = 0; i < kVms; ++i) {
    vms[static_cast<std::size_t>(i)].OnStatement(
        Instance("t"), Rest(seconds(2)), i * milliseconds(50), now_);
  }
  const auto open = [&] {
    return std::count_if(vms.begin(), vms.end(), [&](const auto& vm) {
      return vm.Access(Instance("t"), now_) == TargetAccess::kTrial;
    });
  };
  now_ += seconds(2);
  EXPECT_EQ(open(), 1);
  now_ += milliseconds(5);
  EXPECT_TRUE(vms[0].OnStatement(Instance("t"), Rest(seconds(3)), {}, now_));
  for (const TargetNotice& notice : vms[0].NoticesSince(now_, now_)) {
    for (std::size_t i = 1; i < kVms; ++i) {
      vms[i].OnNotice(notice, now_);
    }
  }
  now_ += milliseconds(2'999);
  EXPECT_EQ(open(), 0);
  now_ += milliseconds(1);
  EXPECT_EQ(open(), 1);
  now_ += milliseconds(100);
  EXPECT_EQ(open(), 3);
}

TEST_F(TargetStatementsDecisionTest, ManyTargetsAreBoundedAndListedOnesKept) {
  statements_.SetListed({Instance("kept")}, now_);
  statements_.OnStatement(Instance("kept"), Leaving(), {}, now_);
  for (int i = 0; i < 20'000; ++i) {
    statements_.OnStatement(Instance("t" + std::to_string(i)), Leaving(), {},
                            now_ + milliseconds(i));
    if (i == 9'000) {
      EXPECT_EQ(Access("t9000"), TargetAccess::kLeaving);
    }
    if (i % 1'000 != 0) {
      continue;
    }
    EXPECT_LE(statements_.Size(), 8'192U);
  }
  EXPECT_EQ(Access("kept"), TargetAccess::kLeaving);
}

/// Placement and queueing while targets rest or leave.
class RestingTargetsTest : public TargetStatementsDecisionTest {
 protected:
  static ServingTarget Spec(const std::string& id) {
    ServingTarget spec;
    spec.id = id;
    spec.service = "s";
    spec.slots = 2;
    spec.start_time_ms = 1;
    spec.software_version = id;
    return spec;
  }

  void State(const std::string& id, const TargetStatement& statement) {
    balancer_.Statements()->OnStatement(Instance(id), statement, {}, now_);
  }

  WaitingRequest Request(std::uint64_t id, Duration objective) const {
    WaitingRequest request;
    request.id = id;
    request.arrival = now_;
    request.objective_deadline = now_ + objective;
    request.deadline = now_ + seconds(10);
    request.need.service = "s";
    request.need.seed = static_cast<std::uint32_t>(id * 2'654'435'769U);
    return request;
  }

  TargetBalancer balancer_;
  WaitQueue queue_{&balancer_};
};

TEST_F(RestingTargetsTest, CapacityAtRestLeavesPlacementAndMoves) {
  balancer_.SetTargets({Spec("a"), Spec("b")}, now_);
  State("a", Rest(seconds(2)));
  PlacementNeed need;
  need.service = "s";
  EXPECT_EQ(balancer_.Pick(need, now_)->target, "b");
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 2);
  EXPECT_EQ(balancer_.SlotsOf("s", "a", true), 2);
  EXPECT_EQ(balancer_.RestingSlotsOf("s", "a", now_), 2);
  EXPECT_FALSE(balancer_.AcceptsRequests("a", now_));
  EXPECT_EQ(balancer_.OpeningOf("s", now_).at, now_);
  State("b", Leaving());
  EXPECT_EQ(balancer_.SlotsOf("s", "b", true), 0);
  EXPECT_EQ(balancer_.Throughput("s", seconds(1), now_), 2);
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 0);
  EXPECT_EQ(balancer_.Pick(need, now_), std::nullopt);
  EXPECT_EQ(balancer_.OpeningOf("s", now_).at, now_ + seconds(2));
}

TEST_F(RestingTargetsTest, OneRequestTriesTargetAfterItsRest) {
  balancer_.SetTargets({Spec("a")}, now_);
  State("a", Rest(seconds(2)));
  now_ += seconds(2);
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 1);
  balancer_.OnSent("a", 0, now_);
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 0);
  balancer_.OnFirstEvent("a", 0, milliseconds(20), milliseconds(20), now_);
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 1);
  balancer_.OnEnded("a", 0, true, TargetOutcome::kAnswered, now_);
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 2);
}

TEST_F(RestingTargetsTest, RestGoesOnWhileVmIsSuspended) {
  balancer_.SetTargets({Spec("a")}, now_);
  State("a", Rest(seconds(2)));
  balancer_.SetSuspendedTime(milliseconds(1'500));
  now_ += milliseconds(499);
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 0);
  EXPECT_EQ(balancer_.OpeningOf("s", now_).at, now_ + milliseconds(1));
  now_ += milliseconds(1);
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 1);
}

TEST_F(RestingTargetsTest, TargetThatRestsForPeerIsUsedIfNoOtherIsFree) {
  balancer_.SetTargets({Spec("a"), Spec("b")}, now_);
  balancer_.Statements()->OnNotice({Instance("a"), false, 2'000}, now_);
  PlacementNeed need;
  need.service = "s";
  EXPECT_EQ(balancer_.Pick(need, now_)->target, "b");
  balancer_.OnSent("b", 0, now_);
  balancer_.OnSent("b", 0, now_);
  EXPECT_EQ(balancer_.Pick(need, now_)->target, "a");
}

// All targets ask for two seconds of rest while requests arrive. Those that can
// still meet their objective wait; the others are refused at once and come back
// after the rest, but not in one instant.
TEST_F(RestingTargetsTest, RequestsAtRestWaitOrAreToldDifferentTimesToReturn) {
  balancer_.SetTargets({Spec("a")}, now_);
  State("a", Rest(seconds(2)));
  queue_.Add(Request(1, seconds(5)));
  for (std::uint64_t id = 2; id < 102; ++id) {
    queue_.Add(Request(id, milliseconds(400)));
  }
  std::vector<WaitDecision> decisions = queue_.Decide(now_);
  ASSERT_EQ(decisions.size(), 100U);
  std::vector<Duration> times;
  for (const WaitDecision& decision : decisions) {
    EXPECT_EQ(decision.kind, WaitDecision::Kind::kRefuse);
    EXPECT_GE(decision.retry_after, seconds(2));
    EXPECT_LE(decision.retry_after, seconds(4));
    times.push_back(decision.retry_after);
  }
  std::sort(times.begin(), times.end());
  constexpr std::size_t kMostInTenth = 20;
  for (std::size_t i = 0; i + kMostInTenth < times.size(); ++i) {
    EXPECT_GT(times[i + kMostInTenth] - times[i], milliseconds(200));
  }
  now_ += seconds(2);
  decisions = queue_.Decide(now_);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].kind, WaitDecision::Kind::kPlace);
}

// A request that waits for a slot is refused as soon as it can't be served in
// time, not at the end of its objective.
TEST_F(RestingTargetsTest, WaitingRequestIsRefusedWhenAllTargetsBeginToRest) {
  balancer_.SetTargets({Spec("a")}, now_);
  balancer_.OnSent("a", 0, now_);
  balancer_.OnSent("a", 0, now_);
  queue_.Add(Request(1, seconds(3)));
  now_ += seconds(1);
  EXPECT_TRUE(queue_.Decide(now_).empty());
  State("a", Rest(seconds(600)));
  const std::vector<WaitDecision> decisions = queue_.Decide(now_);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].kind, WaitDecision::Kind::kRefuse);
  // Other targets may come before the end of a long rest.
  EXPECT_LE(decisions[0].retry_after, seconds(62));
}

}  // namespace
}  // namespace hornbeamcleat
