#include "hornbeamcleat/move/move_controller.h"

#include <gtest/gtest.h>

#include <cmath>

namespace hornbeamcleat {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kTargets = 10;
// Requests of the new version on one route from which it counts as good.
constexpr std::uint64_t kMany = 2'000;

class MoveControllerTest : public testing::Test {
 protected:
  MoveControllerTest() {
    spec_.model = "llm";
    spec_.from_version = "v1";
    spec_.to_version = "v2";
    spec_.deadline = At(minutes(120));
    spec_.bake_time = minutes(10);
    controller_ = MoveController::Make("m1", spec_, 1);
    input_.wanted_targets = kTargets;
    input_.ready_targets = kTargets;
    input_.started = At(minutes(0));
  }

  static WallTime At(std::chrono::milliseconds since) {
    return WallTime(since);
  }

  /// Adds requests of one route: `first_part` seconds each, a spread of 0.2 on
  /// the log scale.
  void Serve(const std::string& version, const std::string& workspace,
             std::uint64_t done, std::uint64_t faults,
             double first_part = 0.5) {
    VersionEvidence* cell = Cell(version, workspace);
    const double n = static_cast<double>(done);
    const double log = std::log(first_part);
    cell->done += done;
    cell->faults += faults;
    cell->first_part_log_sum += n * log;
    cell->first_part_log_square_sum += n * (log * log + 0.04);
  }

  VersionEvidence* Cell(const std::string& version,
                        const std::string& workspace) {
    for (VersionEvidence& cell : input_.evidence) {
      if (cell.version == version && cell.workspace == workspace) {
        return &cell;
      }
    }
    VersionEvidence cell;
    cell.model = "llm";
    cell.version = version;
    cell.workspace = workspace;
    cell.application = "chat";
    input_.evidence.push_back(cell);
    return &input_.evidence.back();
  }

  MoveDecision Look(std::chrono::milliseconds since) {
    input_.now = At(since);
    return controller_->Decide(state_, input_);
  }

  /// Looks and takes an advance as read back from the log.
  MoveDecision Step(std::chrono::milliseconds since) {
    MoveDecision decision = Look(since);
    if (decision.advance) {
      state_ = *decision.advance;
    }
    return decision;
  }

  /// Brings the move to its first share.
  void Begin() {
    Step(minutes(1));
    ASSERT_EQ(state_.phase, MovePhase::kGrowing);
  }

  MoveSpec spec_;
  std::unique_ptr<MoveController> controller_;
  MoveInput input_;
  MoveState state_;
};

TEST_F(MoveControllerTest, NoLoadedTargetKeepsItLoading) {
  input_.ready_targets = 0;
  EXPECT_FALSE(Step(minutes(1)).advance);
}

TEST_F(MoveControllerTest, FirstShareIsSmallAndCapped) {
  Begin();
  const VersionShare share = controller_->Share(state_);
  EXPECT_GT(share.share_permille, 0);
  EXPECT_LT(share.share_permille, 20);
  EXPECT_GT(share.max_in_flight, 0);
  EXPECT_EQ(share.max_targets, 1);
}

TEST_F(MoveControllerTest, GoodEvidenceDoesNotCutTheFirstShareShort) {
  Begin();
  Serve("v1", "w", 100 * kMany, 0);
  Serve("v2", "w", kMany, 0);
  EXPECT_FALSE(Step(minutes(30)).advance);
}

TEST_F(MoveControllerTest, LittleTrafficRaisesTheFirstShare) {
  Begin();
  Serve("v1", "w", 800, 0);
  Serve("v2", "w", 9, 0);
  const int before = state_.share_permille;
  ASSERT_TRUE(Step(minutes(20)).advance);
  EXPECT_EQ(state_.share_permille, 2 * before);
  EXPECT_GT(controller_->Share(state_).max_in_flight, 0);
  Serve("v1", "w", 800, 0);
  Serve("v2", "w", 18, 0);
  EXPECT_FALSE(Step(minutes(40)).advance);
}

TEST_F(MoveControllerTest, RouteWithTrafficAndNoExposureStopsGrowth) {
  Begin();
  Serve("v1", "w", 100 * kMany, 0);
  Serve("v1", "unserved", 10 * kMany, 0);
  Serve("v2", "w", kMany, 0);
  EXPECT_FALSE(Step(minutes(100)).advance);
}

TEST_F(MoveControllerTest, GoodVersionIsDoneBeforeTheDeadline) {
  for (int minute = 1; minute < 120; ++minute) {
    Serve("v1", "w", 3'000, 6);
    if (state_.share_permille > 0) {
      Serve("v2", "w", 100, 0);
    }
    Step(minutes(minute));
  }
  EXPECT_EQ(state_.phase, MovePhase::kDone);
  EXPECT_EQ(state_.share_permille, 1'000);
}

TEST_F(MoveControllerTest, FaultyVersionIsWithdrawnWithTheLogDown) {
  Begin();
  Serve("v1", "w", kMany, 4);
  Step(minutes(2));
  input_.log_available = false;
  Serve("v2", "w", 5, 10);
  const MoveDecision decision = Look(minutes(3));
  EXPECT_TRUE(decision.withdraw);
  EXPECT_FALSE(decision.advance);
}

TEST_F(MoveControllerTest, FaultOnOneRouteIsFoundAmongGoodOnes) {
  Begin();
  for (int minute = 2; minute < 20; ++minute) {
    Serve("v1", "w", 10'000, 20);
    Serve("v1", "small", 500, 1);
    Serve("v2", "w", 200, 0);
    Serve("v2", "small", 4, 1);
    if (Step(minutes(minute)).withdraw) {
      return;
    }
  }
  FAIL() << "not withdrawn";
}

TEST_F(MoveControllerTest, LateFaultIsFoundAfterMuchGoodEvidence) {
  Begin();
  for (int minute = 2; minute < 60; ++minute) {
    Serve("v1", "w", 10'000, 20);
    Serve("v2", "w", 1'000, 2);
    ASSERT_FALSE(Step(minutes(minute)).withdraw);
  }
  Serve("v1", "w", 10'000, 20);
  Serve("v2", "w", 60, 40);
  EXPECT_TRUE(Step(minutes(60)).withdraw);
}

TEST_F(MoveControllerTest, FaultSharedByBothVersionsWithdrawsNobody) {
  Begin();
  for (int minute = 2; minute < 12; ++minute) {
    Serve("v1", "w", 10'000, 20);
    Serve("v2", "w", 100, 0);
    Step(minutes(minute));
  }
  for (int minute = 12; minute < 20; ++minute) {
    Serve("v1", "w", 7'000, 3'000);
    Serve("v2", "w", 70, 30);
    EXPECT_FALSE(Step(minutes(minute)).withdraw);
  }
}

TEST_F(MoveControllerTest, SlowVersionIsWithdrawn) {
  Begin();
  Serve("v1", "w", kMany, 0, 0.5);
  Step(minutes(2));
  Serve("v1", "w", kMany, 0, 0.5);
  Serve("v2", "w", 100, 0, 1.0);
  EXPECT_TRUE(Step(minutes(3)).withdraw);
}

TEST_F(MoveControllerTest, ExcludedEndsCountAgainstNobody) {
  Begin();
  Serve("v1", "w", kMany, 0);
  Serve("v2", "w", 20, 0);
  Cell("v2", "w")->excluded = 1'000;
  EXPECT_FALSE(Step(minutes(2)).withdraw);
}

TEST_F(MoveControllerTest, WithdrawalByAPeerIsRecorded) {
  Begin();
  input_.withdrawn = true;
  const MoveDecision decision = Step(minutes(2));
  ASSERT_TRUE(decision.advance);
  EXPECT_EQ(state_.phase, MovePhase::kRolledBack);
  EXPECT_EQ(state_.share_permille, 0);
}

TEST_F(MoveControllerTest, EndedMoveDecidesNothing) {
  state_.phase = MovePhase::kRolledBack;
  input_.withdrawn = true;
  const MoveDecision decision = Look(minutes(2));
  EXPECT_FALSE(decision.advance);
  EXPECT_FALSE(decision.withdraw);
}

TEST_F(MoveControllerTest, StepsThatCannotFitRollBackWithoutAWithdrawal) {
  Begin();
  const MoveDecision decision = Step(minutes(115));
  ASSERT_TRUE(decision.advance);
  EXPECT_EQ(state_.phase, MovePhase::kRolledBack);
  EXPECT_FALSE(decision.withdraw);
}

TEST_F(MoveControllerTest, LogDownNearTheDeadlineWithdrawsBeforeIt) {
  Begin();
  input_.log_available = false;
  EXPECT_FALSE(Look(minutes(119)).withdraw);
  EXPECT_TRUE(Look(minutes(120) - seconds(29)).withdraw);
}

TEST_F(MoveControllerTest, LogUpNearTheDeadlineRollsBackInTheLogFirst) {
  Begin();
  state_.phase = MovePhase::kBaking;
  state_.step_since = At(minutes(100));
  Serve("v1", "w", kMany, 2);
  Step(minutes(101));
  Serve("v2", "w", 200, 4);
  const MoveDecision held = Look(minutes(115));
  ASSERT_FALSE(held.advance);
  const MoveDecision first = Look(minutes(120) - seconds(29));
  ASSERT_TRUE(first.advance);
  EXPECT_EQ(first.advance->phase, MovePhase::kRolledBack);
  EXPECT_FALSE(first.withdraw);
  EXPECT_TRUE(Look(minutes(120) - seconds(14)).withdraw);
}

TEST_F(MoveControllerTest, BakeIsCountedFromTheLogAfterATakeover) {
  state_ = {MovePhase::kBaking, 950, At(minutes(90)), ""};
  Serve("v1", "w", kMany, 0);
  Serve("v2", "w", kMany, 0);
  EXPECT_FALSE(Look(minutes(99)).advance);
  const MoveDecision decision = Look(minutes(100));
  ASSERT_TRUE(decision.advance);
  EXPECT_EQ(decision.advance->phase, MovePhase::kDone);
}

TEST_F(MoveControllerTest, TakeoverJudgesBySumsOfThePeers) {
  state_ = {MovePhase::kGrowing, 12, At(minutes(2)), ""};
  Serve("v1", "w", kMany, 2);
  Serve("v2", "w", 20, 20);
  EXPECT_TRUE(Look(minutes(30)).withdraw);
}

TEST_F(MoveControllerTest, OperatorsStepsAreFollowed) {
  spec_.steps_permille = {5, 100, 1'000};
  controller_ = MoveController::Make("m1", spec_, 1);
  Begin();
  EXPECT_EQ(state_.share_permille, 5);
}

}  // namespace
}  // namespace hornbeamcleat
