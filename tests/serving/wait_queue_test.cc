#include "src/serving/wait_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class WaitLineTest : public testing::Test {
 protected:
  WaitLineTest() { SetPlaces(1); }

  void SetPlaces(int slots) {
    ServingTarget spec;
    spec.id = "t";
    spec.service = "s";
    spec.slots = slots;
    board_.SetTargets({spec}, now_);
  }

  WaitingRequest Request(std::uint64_t id, int rank, int objective_ms,
                         int route_rank = 0) const {
    WaitingRequest request;
    request.id = id;
    request.rank = rank;
    request.route_rank = route_rank;
    request.arrival = now_;
    request.objective_deadline = now_ + milliseconds(objective_ms);
    request.deadline = now_ + milliseconds(10'000);
    request.need.service = "s";
    return request;
  }

  void Take(int n) {
    for (int i = 0; i < n; ++i) {
      board_.OnSent("t", 0, now_);
      board_.OnFirstEvent("t", 0, milliseconds(25), milliseconds(25), now_);
    }
  }

  void Free() {
    board_.OnEnded("t", 0, true, TargetOutcome::kAnswered, now_);
    line_.OnSlotReleased("s", milliseconds(20));
  }

  // Ids that were placed, in order.
  std::vector<std::uint64_t> Placed() {
    std::vector<std::uint64_t> ids;
    for (const WaitDecision& decision : line_.Decide(now_)) {
      if (decision.kind == WaitDecision::Kind::kPlace) {
        ids.push_back(decision.id);
      } else {
        refused_.push_back(decision);
      }
    }
    return ids;
  }

  bool IsRefused(std::uint64_t id) const {
    return std::any_of(
        refused_.begin(), refused_.end(),
        [id](const WaitDecision& decision) { return decision.id == id; });
  }

  Time now_{milliseconds(10'000)};
  TargetBalancer board_;
  WaitQueue line_{&board_};
  std::vector<WaitDecision> refused_;
};

TEST_F(WaitLineTest, DecideWithFreePlacePlacesAtOnce) {
  line_.Add(Request(1, 2, 400));
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
  EXPECT_EQ(board_.Running("s"), 1);
}

// Load: workspaces of one rank send routes of different ranks, and short
// objectives belong to the routes that are worth least.
TEST_F(WaitLineTest, DecideAmongEqualWorkspacesFollowsRoutesRank) {
  Take(1);
  line_.OnSlotReleased("s", milliseconds(20));
  line_.Add(Request(1, 1, 400, 2));
  line_.Add(Request(2, 1, 1'000, 0));
  EXPECT_TRUE(Placed().empty());
  Free();
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
}

TEST_F(WaitLineTest, DecideWithHigherWorkspaceRankGoesBeforeRoutesRank) {
  Take(1);
  line_.OnSlotReleased("s", milliseconds(20));
  line_.Add(Request(1, 1, 400, 0));
  line_.Add(Request(2, 0, 400, 2));
  EXPECT_TRUE(Placed().empty());
  Free();
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
}

TEST_F(WaitLineTest, DecideAmongEqualRanksTakesEarliestLatestStart) {
  Take(1);
  line_.OnSlotReleased("s", milliseconds(20));
  line_.Add(Request(1, 1, 1'000));
  line_.Add(Request(2, 1, 400));
  EXPECT_TRUE(Placed().empty());
  Free();
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
}

// Load: demand beyond the places for longer than an objective. Requests that
// can't be served in time are refused at once, with a time to come back.
TEST_F(WaitLineTest, DecideUnderOverloadRefusesAtOnceWhoCannotBeOnTime) {
  Take(1);
  line_.OnSlotReleased("s", milliseconds(100));
  for (std::uint64_t id = 1; id <= 10; ++id) {
    line_.Add(Request(id, 1, 400));
  }
  EXPECT_TRUE(Placed().empty());
  EXPECT_FALSE(refused_.empty());
  EXPECT_GT(line_.Waiting("s"), 0);
  for (const WaitDecision& decision : refused_) {
    EXPECT_LE(decision.waited, milliseconds(50));
    EXPECT_GE(decision.retry_after, milliseconds(100));
  }
}

TEST_F(WaitLineTest, DecideUnderOverloadNeverRefusesHigherRankBeforeLower) {
  Take(1);
  line_.OnSlotReleased("s", milliseconds(100));
  for (std::uint64_t id = 1; id <= 10; ++id) {
    line_.Add(Request(id, id <= 3 ? 0 : 1, 400));
  }
  Placed();
  EXPECT_FALSE(IsRefused(1));
  EXPECT_TRUE(IsRefused(10));
}

TEST_F(WaitLineTest, DecideAfterLatestStartRefuses) {
  Take(1);
  line_.OnSlotReleased("s", milliseconds(20));
  line_.Add(Request(1, 1, 400));
  EXPECT_TRUE(Placed().empty());
  EXPECT_FALSE(IsRefused(1));
  now_ += milliseconds(390);
  EXPECT_TRUE(Placed().empty());
  EXPECT_TRUE(IsRefused(1));
  EXPECT_EQ(line_.Waiting("s"), 0);
}

// Load: all VMs see the same place fall free at the same moment.
TEST_F(WaitLineTest, DecideLeavesPlaceToPeerThatGoesFirst) {
  const WaitingRank better{0, 0, 100};
  line_.OnSlotReleased("s", milliseconds(20));
  line_.SetPeerQueues("peer", {{Hash32("s"), {better}}}, now_);
  line_.Add(Request(1, 1, 400));
  EXPECT_TRUE(Placed().empty());
  line_.SetPeerQueues("peer", {}, now_);
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
}

TEST_F(WaitLineTest, DecideTakesPlaceBeforePeerThatGoesLater) {
  const WaitingRank worse{2, 0, 100};
  line_.SetPeerQueues("peer", {{Hash32("s"), {worse}}}, now_);
  line_.Add(Request(1, 1, 400));
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
}

TEST_F(WaitLineTest, RemoveTakesRequestOutOfLine) {
  Take(1);
  line_.OnSlotReleased("s", milliseconds(20));
  line_.Add(Request(1, 1, 400));
  line_.Remove(1);
  Free();
  EXPECT_TRUE(Placed().empty());
}

TEST_F(WaitLineTest, ChangesRiseOnlyWithTheQueue) {
  const std::uint64_t before = line_.Changes();
  line_.Decide(now_);
  EXPECT_EQ(line_.Changes(), before);
  line_.Add(Request(1, 1, 400));
  EXPECT_GT(line_.Changes(), before);
}

}  // namespace
}  // namespace hornbeamcleat
