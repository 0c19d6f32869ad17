#include "hornbeamcleat/move/move_controller.h"

#include <gtest/gtest.h>

#include <cmath>

namespace hornbeamcleat {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kTargets = 10;
// Requests of the new version on one route that suffice to accept it as good.
constexpr std::uint64_t kAcceptedRequests = 2'000;

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

  /// Adds requests of one route that took `first_part` seconds each, with a
  /// standard deviation of 0.2 on the log scale.
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

  MoveDecision Evaluate(std::chrono::milliseconds since) {
    input_.now = At(since);
    return controller_->Decide(state_, input_);
  }

  /// Evaluates the move and applies an advance as if read back from the log.
  MoveDecision EvaluateAndAdvance(std::chrono::milliseconds since) {
    MoveDecision decision = Evaluate(since);
    if (decision.advance) {
      state_ = *decision.advance;
    }
    return decision;
  }

  /// Advances the move to its first share.
  void AdvanceToFirstShare() {
    EvaluateAndAdvance(minutes(1));
    ASSERT_EQ(state_.phase, MovePhase::kGrowing);
  }

  MoveSpec spec_;
  std::unique_ptr<MoveController> controller_;
  MoveInput input_;
  MoveState state_;
};

TEST_F(MoveControllerTest, MoveWithoutLoadedTargetKeepsLoading) {
  input_.ready_targets = 0;
  EXPECT_FALSE(EvaluateAndAdvance(minutes(1)).advance);
}

TEST_F(MoveControllerTest, FirstShareIsSmallAndCapped) {
  AdvanceToFirstShare();
  const VersionShare share = controller_->Share(state_);
  EXPECT_GT(share.share_permille, 0);
  EXPECT_LT(share.share_permille, 20);
  EXPECT_GT(share.max_in_flight, 0);
  EXPECT_EQ(share.max_targets, 1);
}

TEST_F(MoveControllerTest, GoodEvidenceDoesNotCutTheFirstShareShort) {
  AdvanceToFirstShare();
  Serve("v1", "w", 100 * kAcceptedRequests, 0);
  Serve("v2", "w", kAcceptedRequests, 0);
  EXPECT_FALSE(EvaluateAndAdvance(minutes(30)).advance);
}

TEST_F(MoveControllerTest, LittleTrafficRaisesTheFirstShare) {
  AdvanceToFirstShare();
  Serve("v1", "w", 800, 0);
  Serve("v2", "w", 9, 0);
  const int before = state_.share_permille;
  ASSERT_TRUE(EvaluateAndAdvance(minutes(20)).advance);
  EXPECT_EQ(state_.share_permille, 2 * before);
  EXPECT_GT(controller_->Share(state_).max_in_flight, 0);
  Serve("v1", "w", 800, 0);
  Serve("v2", "w", 18, 0);
  EXPECT_FALSE(EvaluateAndAdvance(minutes(40)).advance);
}

TEST_F(MoveControllerTest, RouteWithTrafficAndNoExposureStopsGrowth) {
  AdvanceToFirstShare();
  Serve("v1", "w", 100 * kAcceptedRequests, 0);
  Serve("v1", "unserved", 10 * kAcceptedRequests, 0);
  Serve("v2", "w", kAcceptedRequests, 0);
  EXPECT_FALSE(EvaluateAndAdvance(minutes(100)).advance);
}

TEST_F(MoveControllerTest, GoodVersionIsDoneBeforeTheDeadline) {
  for (int minute = 1; minute < 120; ++minute) {
    Serve("v1", "w", 3'000, 6);
    if (state_.share_permille > 0) {
      Serve("v2", "w", 100, 0);
    }
    EvaluateAndAdvance(minutes(minute));
  }
  EXPECT_EQ(state_.phase, MovePhase::kDone);
  EXPECT_EQ(state_.share_permille, 1'000);
}

TEST_F(MoveControllerTest, FaultyVersionIsWithdrawnWithTheLogDown) {
  AdvanceToFirstShare();
  Serve("v1", "w", kAcceptedRequests, 4);
  EvaluateAndAdvance(minutes(2));
  input_.log_available = false;
  Serve("v2", "w", 5, 10);
  const MoveDecision decision = Evaluate(minutes(3));
  EXPECT_TRUE(decision.withdraw);
  EXPECT_FALSE(decision.advance);
}

TEST_F(MoveControllerTest, FaultOnOneRouteIsDetected) {
  AdvanceToFirstShare();
  for (int minute = 2; minute < 20; ++minute) {
    Serve("v1", "w", 10'000, 20);
    Serve("v1", "small", 500, 1);
    Serve("v2", "w", 200, 0);
    Serve("v2", "small", 4, 1);
    if (EvaluateAndAdvance(minutes(minute)).withdraw) {
      return;
    }
  }
  FAIL() << "not withdrawn";
}

TEST_F(MoveControllerTest, LateFaultIsDetectedAfterMuchGoodEvidence) {
  AdvanceToFirstShare();
  for (int minute = 2; minute < 60; ++minute) {
    Serve("v1", "w", 10'000, 20);
    Serve("v2", "w", 1'000, 2);
    ASSERT_FALSE(EvaluateAndAdvance(minutes(minute)).withdraw);
  }
  Serve("v1", "w", 10'000, 20);
  Serve("v2", "w", 60, 40);
  EXPECT_TRUE(EvaluateAndAdvance(minutes(60)).withdraw);
}

TEST_F(MoveControllerTest, FaultCommonToBothVersionsWithdrawsNeither) {
  AdvanceToFirstShare();
  for (int minute = 2; minute < 12; ++minute) {
    Serve("v1", "w", 10'000, 20);
    Serve("v2", "w", 100, 0);
    EvaluateAndAdvance(minutes(minute));
  }
  for (int minute = 12; minute < 20; ++minute) {
    Serve("v1", "w", 7'000, 3'000);
    Serve("v2", "w", 70, 30);
    EXPECT_FALSE(EvaluateAndAdvance(minutes(minute)).withdraw);
  }
}

TEST_F(MoveControllerTest, SlowVersionIsWithdrawn) {
  AdvanceToFirstShare();
  Serve("v1", "w", kAcceptedRequests, 0, 0.5);
  EvaluateAndAdvance(minutes(2));
  Serve("v1", "w", kAcceptedRequests, 0, 0.5);
  Serve("v2", "w", 100, 0, 1.0);
  EXPECT_TRUE(EvaluateAndAdvance(minutes(3)).withdraw);
}

TEST_F(MoveControllerTest, ExcludedRequestsCountAgainstNeither) {
  AdvanceToFirstShare();
  Serve("v1", "w", kAcceptedRequests, 0);
  Serve("v2", "w", 20, 0);
  Cell("v2", "w")->excluded = 1'000;
  EXPECT_FALSE(EvaluateAndAdvance(minutes(2)).withdraw);
}

TEST_F(MoveControllerTest, WithdrawalByAPeerIsRecorded) {
  AdvanceToFirstShare();
  input_.withdrawn = true;
  const MoveDecision decision = EvaluateAndAdvance(minutes(2));
  ASSERT_TRUE(decision.advance);
  EXPECT_EQ(state_.phase, MovePhase::kRolledBack);
  EXPECT_EQ(state_.share_permille, 0);
}

TEST_F(MoveControllerTest, FinishedMoveDecidesNothing) {
  state_.phase = MovePhase::kRolledBack;
  input_.withdrawn = true;
  const MoveDecision decision = Evaluate(minutes(2));
  EXPECT_FALSE(decision.advance);
  EXPECT_FALSE(decision.withdraw);
}

TEST_F(MoveControllerTest, StepsThatDoNotFitRollBackWithoutWithdrawal) {
  AdvanceToFirstShare();
  const MoveDecision decision = EvaluateAndAdvance(minutes(115));
  ASSERT_TRUE(decision.advance);
  EXPECT_EQ(state_.phase, MovePhase::kRolledBack);
  EXPECT_FALSE(decision.withdraw);
}

TEST_F(MoveControllerTest, LogDownNearTheDeadlineWithdrawsBeforeIt) {
  AdvanceToFirstShare();
  input_.log_available = false;
  EXPECT_FALSE(Evaluate(minutes(119)).withdraw);
  EXPECT_TRUE(Evaluate(minutes(120) - seconds(29)).withdraw);
}

TEST_F(MoveControllerTest, LogUpNearTheDeadlineRollsBackInTheLogFirst) {
  AdvanceToFirstShare();
  state_.phase = MovePhase::kBaking;
  state_.step_since = At(minutes(100));
  Serve("v1", "w", kAcceptedRequests, 2);
  EvaluateAndAdvance(minutes(101));
  Serve("v2", "w", 200, 4);
  const MoveDecision held = Evaluate(minutes(115));
  ASSERT_FALSE(held.advance);
  const MoveDecision first = Evaluate(minutes(120) - seconds(29));
  ASSERT_TRUE(first.advance);
  EXPECT_EQ(first.advance->phase, MovePhase::kRolledBack);
  EXPECT_FALSE(first.withdraw);
  EXPECT_TRUE(Evaluate(minutes(120) - seconds(14)).withdraw);
}

TEST_F(MoveControllerTest, BakeIsCountedFromTheLogAfterATakeover) {
  state_ = {MovePhase::kBaking, 950, At(minutes(90)), ""};
  Serve("v1", "w", kAcceptedRequests, 0);
  Serve("v2", "w", kAcceptedRequests, 0);
  EXPECT_FALSE(Evaluate(minutes(99)).advance);
  const MoveDecision decision = Evaluate(minutes(100));
  ASSERT_TRUE(decision.advance);
  EXPECT_EQ(decision.advance->phase, MovePhase::kDone);
}

TEST_F(MoveControllerTest, TakeoverEvaluatesSumsOfPeers) {
  state_ = {MovePhase::kGrowing, 12, At(minutes(2)), ""};
  Serve("v1", "w", kAcceptedRequests, 2);
  Serve("v2", "w", 20, 20);
  EXPECT_TRUE(Evaluate(minutes(30)).withdraw);
}

TEST_F(MoveControllerTest, ConfiguredStepsAreFollowed) {
  spec_.steps_permille = {5, 100, 1'000};
  controller_ = MoveController::Make("m1", spec_, 1);
  AdvanceToFirstShare();
  EXPECT_EQ(state_.share_permille, 5);
}

}  // namespace
}  // namespace hornbeamcleat
