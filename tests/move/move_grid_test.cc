#include <gtest/gtest.h>

#include "src/trial/trial_grid.h"

namespace hornbeamcleat {
namespace {

constexpr double kMaxBadShare = 0.02;

/// Runs part of the grid of hornbeamcleat-moves with its targets as bounds.
class MoveGridTest : public testing::Test {
 protected:
  static GridSummary Run(std::uint64_t first_seed) {
    GridOptions options;
    options.seeds = 1;
    options.good_seeds = 3;
    options.first_seed = first_seed;
    return Summarize(RunGrid(MakeGrid(options), options.jobs));
  }
};

TEST_F(MoveGridTest, PartOfTheGridMeetsTheTargets) {
  const GridSummary figures = Run(50'000);
  EXPECT_GT(figures.good, 0);
  EXPECT_EQ(figures.good_in_time, figures.good);
  EXPECT_EQ(figures.false_positives, 0);
  EXPECT_GT(figures.bad, 0);
  EXPECT_EQ(figures.bad_rolled_back, figures.bad);
  EXPECT_LT(figures.max_bad_share, kMaxBadShare);
  EXPECT_EQ(figures.after_withdrawal, 0U);
  EXPECT_EQ(figures.undecided, 0);
}

TEST_F(MoveGridTest, FaultInTheBakeIsRolledBack) {
  TrialSpec spec;
  spec.fault = FaultKind::kFailsInBake;
  const TrialResult result = RunTrial(spec);
  EXPECT_EQ(result.end, MovePhase::kRolledBack);
  EXPECT_LT(static_cast<double>(result.after_fault),
            kMaxBadShare * static_cast<double>(result.requests));
  EXPECT_EQ(result.after_withdrawal, 0U);
}

TEST_F(MoveGridTest, LogOutageAcrossTheDeadlineRollsBackBeforeIt) {
  for (const FaultKind fault : {FaultKind::kNone, FaultKind::kOneInFifty}) {
    TrialSpec spec;
    spec.fault = fault;
    spec.disturbance = Disturbance::kLogDownAtEnd;
    const TrialResult result = RunTrial(spec);
    EXPECT_EQ(result.end, MovePhase::kRolledBack);
    EXPECT_TRUE(result.withdrawn);
    EXPECT_EQ(result.after_withdrawal, 0U);
  }
}

TEST_F(MoveGridTest, EqualSpecsGiveEqualResults) {
  TrialSpec spec;
  spec.fault = FaultKind::kOneRoute;
  spec.disturbance = Disturbance::kAll;
  EXPECT_EQ(RunTrial(spec), RunTrial(spec));
}

}  // namespace
}  // namespace hornbeamcleat
