#include "src/serving/wait_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class WaitQueueTest : public testing::Test {
 protected:
  WaitQueueTest() { SetSlots(1); }

  void SetSlots(int slots) {
    ServingTarget spec;
    spec.id = "t";
    spec.service = "s";
    spec.slots = slots;
    balancer_.SetTargets({spec}, now_);
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

  void OccupySlots(int n) {
    for (int i = 0; i < n; ++i) {
      balancer_.OnSent("t", 0, now_);
      balancer_.OnFirstEvent("t", 0, milliseconds(25), milliseconds(25), now_);
    }
  }

  void ReleaseSlot() {
    balancer_.OnEnded("t", 0, true, TargetOutcome::kAnswered, now_);
    queue_.OnSlotReleased("s", milliseconds(20));
  }

  // Runs Decide and returns the IDs of the placed requests in order.
  std::vector<std::uint64_t> Placed() {
    std::vector<std::uint64_t> ids;
    for (const WaitDecision& decision : queue_.Decide(now_)) {
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
  TargetBalancer balancer_;
  WaitQueue queue_{&balancer_};
  std::vector<WaitDecision> refused_;
};

TEST_F(WaitQueueTest, DecideWithFreeSlotPlacesAtOnce) {
  queue_.Add(Request(1, 2, 400));
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
  EXPECT_EQ(balancer_.Running("s"), 1);
}

// Workspaces of equal rank use routes of different ranks. The lowest route
// ranks have the shortest objectives, which must not put them first.
TEST_F(WaitQueueTest, DecideAmongEqualWorkspacesFollowsRouteRank) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  queue_.Add(Request(1, 1, 400, 2));
  queue_.Add(Request(2, 1, 1'000, 0));
  EXPECT_TRUE(Placed().empty());
  ReleaseSlot();
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
}

TEST_F(WaitQueueTest, DecidePutsWorkspaceRankBeforeRouteRank) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  queue_.Add(Request(1, 1, 400, 0));
  queue_.Add(Request(2, 0, 400, 2));
  EXPECT_TRUE(Placed().empty());
  ReleaseSlot();
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
}

TEST_F(WaitQueueTest, DecideAmongEqualRanksTakesEarliestLatestStart) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  queue_.Add(Request(1, 1, 1'000));
  queue_.Add(Request(2, 1, 400));
  EXPECT_TRUE(Placed().empty());
  ReleaseSlot();
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
}

// A caller that retries after its objective has passed would take the slot of
// one that can still be served in time, also of a lower route rank.
TEST_F(WaitQueueTest, DecideServesLateRetryAfterRequestsInTime) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  WaitingRequest late = Request(1, 1, 1'000, 0);
  late.objective_deadline = now_ - milliseconds(2'000);
  queue_.Add(Request(2, 1, 400, 2));
  EXPECT_TRUE(Placed().empty());
  queue_.Add(late);
  ReleaseSlot();
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
  EXPECT_TRUE(IsRefused(1));
}

TEST_F(WaitQueueTest, DecideWithFreeSlotPlacesLateRetry) {
  WaitingRequest late = Request(1, 1, 1'000);
  late.objective_deadline = now_ - milliseconds(2'000);
  queue_.Add(late);
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
}

// Workspace ranks bind: a late caller of a higher one goes first.
TEST_F(WaitQueueTest, DecideServesLateRetryOfHigherWorkspaceRankFirst) {
  WaitingRequest late = Request(1, 0, 1'000);
  late.objective_deadline = now_ - milliseconds(2'000);
  queue_.Add(Request(2, 1, 400));
  queue_.Add(late);
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
}

// Five times as many callers as slots, each of which retries once when it is
// told to. Callers that are told to retry at once are refused twice; those that
// retry late enough find a free slot after the overload.
TEST_F(WaitQueueTest, DecideUnderOverloadSendsCallersAwayUntilItIsOver) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(100));
  for (std::uint64_t id = 1; id <= 30; ++id) {
    now_ += milliseconds(33);
    WaitingRequest request = Request(id, 1, 200);
    request.max_retry_delay = milliseconds(4'000);
    queue_.Add(request);
    if (id % 5 == 0) {
      ReleaseSlot();
    }
    Placed();
  }
  ASSERT_GE(refused_.size(), 10U);
  EXPECT_GE(refused_.back().retry_after, milliseconds(2'000));
  EXPECT_LE(refused_.back().retry_after, milliseconds(4'000));
}

// Requests that wait until the mean time before their objective end late if
// one answer in ten takes twice as long.
TEST_F(WaitQueueTest, DecideReservesMeasuredTimeForFirstEvent) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  for (int i = 0; i < 1'000; ++i) {
    queue_.OnFirstEvent("s", milliseconds(i % 8 == 0 ? 60 : 25),
                        milliseconds(25));
  }
  queue_.Add(Request(1, 1, 200));
  now_ += milliseconds(150);
  EXPECT_TRUE(Placed().empty());
  EXPECT_TRUE(IsRefused(1));
}

// Streams with an earlier latest start accept targets with long pauses sooner.
TEST_F(WaitQueueTest, DecideLetsStreamsWaitForTargetsWithoutPauses) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  for (int i = 0; i < 1'000; ++i) {
    queue_.OnFirstEvent("s", milliseconds(60), milliseconds(25));
  }
  WaitingRequest stream = Request(1, 1, 200);
  stream.need.max_pause = milliseconds(400);
  queue_.Add(stream);
  now_ += milliseconds(150);
  EXPECT_TRUE(Placed().empty());
  EXPECT_FALSE(IsRefused(1));
}

TEST_F(WaitQueueTest, OnFirstEventWithoutEstimateChangesNothing) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  for (int i = 0; i < 1'000; ++i) {
    queue_.OnFirstEvent("s", milliseconds(60'000), Duration(0));
  }
  queue_.Add(Request(1, 1, 200));
  now_ += milliseconds(150);
  EXPECT_TRUE(Placed().empty());
  EXPECT_FALSE(IsRefused(1));
}

// Demand exceeds the slots for longer than an objective. Requests that cannot
// be served in time are refused immediately with a Retry-After.
TEST_F(WaitQueueTest, DecideUnderOverloadRefusesHopelessRequestsAtOnce) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(100));
  for (std::uint64_t id = 1; id <= 10; ++id) {
    queue_.Add(Request(id, 1, 400));
  }
  EXPECT_TRUE(Placed().empty());
  EXPECT_FALSE(refused_.empty());
  EXPECT_GT(queue_.Waiting("s"), 0);
  for (const WaitDecision& decision : refused_) {
    EXPECT_LE(decision.waited, milliseconds(50));
    EXPECT_GE(decision.retry_after, milliseconds(100));
  }
}

TEST_F(WaitQueueTest, DecideUnderOverloadNeverRefusesHigherRankBeforeLower) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(100));
  for (std::uint64_t id = 1; id <= 10; ++id) {
    queue_.Add(Request(id, id <= 3 ? 0 : 1, 400));
  }
  Placed();
  EXPECT_FALSE(IsRefused(1));
  EXPECT_TRUE(IsRefused(10));
}

TEST_F(WaitQueueTest, DecideAfterLatestStartRefuses) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  queue_.Add(Request(1, 1, 400));
  EXPECT_TRUE(Placed().empty());
  EXPECT_FALSE(IsRefused(1));
  now_ += milliseconds(390);
  EXPECT_TRUE(Placed().empty());
  EXPECT_TRUE(IsRefused(1));
  EXPECT_EQ(queue_.Waiting("s"), 0);
}

// All VMs see the same slot become free at the same moment.
TEST_F(WaitQueueTest, DecideLeavesSlotToPeerWithHigherPriority) {
  const WaitingRank better{0, 0, 100};
  queue_.OnSlotReleased("s", milliseconds(20));
  queue_.SetPeerQueues("peer", {{Hash32("s"), {better}}}, now_);
  queue_.Add(Request(1, 1, 400));
  EXPECT_TRUE(Placed().empty());
  queue_.SetPeerQueues("peer", {}, now_);
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
}

TEST_F(WaitQueueTest, DecideTakesSlotBeforePeerWithLowerPriority) {
  const WaitingRank worse{2, 0, 100};
  queue_.SetPeerQueues("peer", {{Hash32("s"), {worse}}}, now_);
  queue_.Add(Request(1, 1, 400));
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
}

TEST_F(WaitQueueTest, RemoveDropsRequestFromQueue) {
  OccupySlots(1);
  queue_.OnSlotReleased("s", milliseconds(20));
  queue_.Add(Request(1, 1, 400));
  queue_.Remove(1);
  ReleaseSlot();
  EXPECT_TRUE(Placed().empty());
}

TEST_F(WaitQueueTest, ChangesIncreaseOnlyWithQueueChanges) {
  const std::uint64_t before = queue_.Changes();
  queue_.Decide(now_);
  EXPECT_EQ(queue_.Changes(), before);
  queue_.Add(Request(1, 1, 400));
  EXPECT_GT(queue_.Changes(), before);
}

/// A warm target "t" with one slot, which is taken, and a cold one.
class WaitQueueColdTest : public WaitQueueTest {
 protected:
  WaitQueueColdTest() {
    ServiceSpec service;
    service.name = "s";
    service.cold_start = milliseconds(5'000);
    service.cold_per_second = 9.1;
    balancer_.Cold()->SetBounds({1.5, 5});
    balancer_.Cold()->SetOrderSource([](const TargetInstance&) {
      return VmOrder{true, 0, 1, false};
    });
    balancer_.SetColdServices({{"s", service}}, 0, now_);
  }

  void SetTargets(bool has_warm) {
    std::vector<ServingTarget> specs;
    for (const char* id : {"t", "cold"}) {
      ServingTarget spec;
      spec.id = id;
      spec.service = "s";
      spec.slots = 1;
      spec.start_time_ms = 1;
      spec.read_at = now_;
      spec.cold_remaining = milliseconds(spec.id == "t" ? 0 : 5'000);
      if (has_warm || spec.id != "t") {
        specs.push_back(spec);
      }
    }
    balancer_.SetTargets(specs, now_);
    balancer_.UpdateColdRecords(0, now_);
    now_ += milliseconds(500);
  }
};

// A request at a slow target while a fast one is free would be late for
// nothing.
TEST_F(WaitQueueColdTest, WarmTargetWithRoomIsTakenFirst) {
  SetTargets(true);
  queue_.Add(Request(1, 0, 400));
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
  EXPECT_FALSE(balancer_.Pick(Request(2, 0, 400).need, now_).has_value());
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 0);
}

TEST_F(WaitQueueColdTest, LastOfQueueGoesToColdTargetWhileWarmOnesAreFull) {
  SetTargets(true);
  OccupySlots(1);
  queue_.Add(Request(1, 0, 4'000));
  queue_.Add(Request(2, 2, 4'000));
  queue_.Add(Request(3, 1, 4'000));
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
  EXPECT_TRUE(refused_.empty());
}

// The lowest rank would take all turns, and the highest be refused.
TEST_F(WaitQueueColdTest, HighestRankGoesFirstIfAllTargetsAreCold) {
  SetTargets(false);
  queue_.Add(Request(1, 2, 4'000));
  queue_.Add(Request(2, 0, 4'000));
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{2});
}

TEST_F(WaitQueueColdTest, ColdTargetCountsByItsRate) {
  SetTargets(true);
  // 1 slot of 10 ms each, and at most 8.5 requests per second at the cold one.
  const double per_second = balancer_.Throughput("s", milliseconds(10), now_);
  EXPECT_GT(per_second, 106);
  EXPECT_LE(per_second, 109.2);
  EXPECT_EQ(balancer_.RestingSlotsOf("s", "", now_), 1);
}

// Else nobody would learn that it is warm again until warm ones are full.
TEST_F(WaitQueueColdTest, LostTargetIsTriedWhileWarmOnesHaveRoom) {
  SetTargets(true);
  now_ += milliseconds(6'000);
  balancer_.OnSent("cold", 0, now_);
  balancer_.OnEnded("cold", 0, false, TargetOutcome::kLost, now_);
  EXPECT_TRUE(balancer_.IsCold("cold", now_));
  now_ += milliseconds(5'000);
  balancer_.Cold()->Update(now_);
  now_ += milliseconds(1'000);
  queue_.Add(Request(1, 0, 400));
  EXPECT_EQ(Placed(), std::vector<std::uint64_t>{1});
  EXPECT_EQ(balancer_.FreeSlots("s", now_), 1);
}

// A VM without a turn would keep callers waiting for nothing.
TEST_F(WaitQueueColdTest, VmWithoutTurnRefusesWithTimeToRetry) {
  balancer_.Cold()->SetOrderSource([](const TargetInstance&) {
    return VmOrder{true, 9, 22, false};
  });
  SetTargets(false);
  queue_.Add(Request(1, 0, 400));
  EXPECT_TRUE(Placed().empty());
  ASSERT_EQ(refused_.size(), 1U);
  EXPECT_GT(refused_[0].retry_after, Duration(0));
}

// Requests must not wait for slots of targets that will not take them.
TEST_F(WaitQueueTest, AllTargetsEvacuatedRefusesAtOnceWithTimeToRetry) {
  OccupySlots(1);
  queue_.Add(Request(1, 0, 1'000));
  EXPECT_TRUE(Placed().empty());
  ASSERT_TRUE(refused_.empty());
  now_ += milliseconds(400);
  balancer_.SetEvacuatedDomains({""}, now_);
  EXPECT_TRUE(Placed().empty());
  ASSERT_EQ(refused_.size(), 1U);
  EXPECT_GE(refused_[0].retry_after, milliseconds(3'000));
  EXPECT_LE(refused_[0].retry_after, milliseconds(5'000));
  EXPECT_EQ(queue_.TimeToOpening(Request(2, 0, 1'000).need, 0, now_),
            refused_[0].retry_after);
}

// Half of the slots is gone, so the estimated wait doubles and exceeds the
// objective.
TEST_F(WaitQueueTest, EstimateCountsLossOfEvacuatedDomainAtOnce) {
  ServingTarget near;
  near.id = "t";
  near.service = "s";
  near.failure_domain = "d";
  near.slots = 2;
  ServingTarget far = near;
  far.id = "u";
  far.failure_domain = "e";
  balancer_.SetTargets({near, far}, now_);
  OccupySlots(2);
  for (int i = 0; i < 2; ++i) {
    balancer_.OnSent("u", 0, now_);
    balancer_.OnFirstEvent("u", 0, milliseconds(25), milliseconds(25), now_);
  }
  queue_.OnSlotReleased("s", milliseconds(1'000));
  queue_.Add(Request(1, 0, 400));
  EXPECT_TRUE(Placed().empty());
  EXPECT_TRUE(refused_.empty());
  balancer_.SetEvacuatedDomains({"e"}, now_);
  EXPECT_TRUE(Placed().empty());
  EXPECT_EQ(refused_.size(), 1U);
}

/// Requests that may use all targets beside some that may use one region.
class WaitQueueRegionsTest : public WaitQueueTest {
 protected:
  WaitQueueRegionsTest() {
    balancer_.SetRegions({{"d", "eu"}, {"e", "us"}});
    ServingTarget us;
    us.id = "u";
    us.service = "s";
    us.failure_domain = "e";
    us.slots = 2;
    ServingTarget eu = us;
    eu.id = "t";
    eu.failure_domain = "d";
    balancer_.SetTargets({eu, us}, now_);
  }

  WaitingRequest Restricted(std::uint64_t id, int rank,
                            const std::vector<std::string>& regions) const {
    WaitingRequest request = Request(id, rank, 1'000);
    request.need.allowed_regions = regions;
    return request;
  }
};

// Restricted requests whose region is full must not keep the others from free
// slots elsewhere.
TEST_F(WaitQueueRegionsTest, FullRegionHoldsUpOnlyItsOwnRequests) {
  OccupySlots(2);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    queue_.Add(Restricted(id, 0, {"eu"}));
  }
  queue_.Add(Request(6, 1, 1'000));
  queue_.Add(Request(7, 1, 1'000));
  EXPECT_EQ(Placed(), (std::vector<std::uint64_t>{6, 7}));
  ReleaseSlot();
  EXPECT_EQ(Placed(), (std::vector<std::uint64_t>{1}));
}

TEST_F(WaitQueueRegionsTest, HigherRankGoesFirstInItsRegion) {
  OccupySlots(2);
  balancer_.OnSent("u", 0, now_);
  balancer_.OnSent("u", 0, now_);
  queue_.Add(Request(1, 1, 1'000));
  queue_.Add(Restricted(2, 0, {"eu"}));
  EXPECT_TRUE(Placed().empty());
  ReleaseSlot();
  EXPECT_EQ(Placed(), (std::vector<std::uint64_t>{2}));
}

TEST_F(WaitQueueRegionsTest, EmptyRestrictionIsRefusedAtOnce) {
  queue_.Add(Restricted(1, 0, {}));
  EXPECT_TRUE(Placed().empty());
  ASSERT_EQ(refused_.size(), 1U);
  EXPECT_GE(refused_[0].retry_after, milliseconds(3'000));
}

// Peers would otherwise wait behind requests that want none of their slots.
TEST_F(WaitQueueRegionsTest, RestrictedRequestsAreReportedApart) {
  OccupySlots(2);
  queue_.Add(Restricted(1, 0, {"eu"}));
  Placed();
  const std::vector<ServiceQueue> queues = queue_.Queues(now_);
  ASSERT_EQ(queues.size(), 1U);
  EXPECT_NE(queues[0].service, Hash32("s"));
  WaitQueue other(&balancer_);
  other.SetPeerQueues("p", queues, now_);
  WaitingRequest request = Request(2, 1, 1'000);
  other.Add(request);
  ASSERT_EQ(other.Decide(now_).size(), 1U);
}

}  // namespace
}  // namespace hornbeamcleat
