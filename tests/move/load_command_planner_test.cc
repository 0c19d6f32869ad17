#include "hornbeamcleat/move/load_command_planner.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;

class LoadCommandPlannerTest : public testing::Test {
 protected:
  LoadCommandPlannerTest() {
    options_.max_loading = 2;
    planner_ = LoadCommandPlanner::Make("llm", "v2", options_);
    input_.fencing = 7;
    input_.wanted = 2;
    input_.held_since = Time(seconds(0));
    for (const char* name : {"t1", "t2", "t3"}) {
      ObservedTarget target;
      target.target = name;
      target.state = LoadState::kAbsent;
      target.checks_fencing = true;
      input_.candidates.push_back(target);
    }
  }

  /// Reads all targets at `since` and plans loads at the same time.
  LoadCommandPlan ReadAndPlan(Duration since) {
    for (ObservedTarget& target : input_.candidates) {
      target.observed = Time(since);
    }
    return PlanWithoutRead(since);
  }

  /// Plans loads at `since` without reading the targets again.
  LoadCommandPlan PlanWithoutRead(Duration since) {
    input_.now = Time(since);
    return planner_->PlanLoads(input_);
  }

  static std::vector<TargetName> Targets(const LoadCommandPlan& plan) {
    std::vector<TargetName> out;
    for (const LoadCommand& order : plan.orders) {
      out.push_back(order.target);
    }
    return out;
  }

  LoadCommandPlannerOptions options_;
  std::unique_ptr<LoadCommandPlanner> planner_;
  LoadPlannerInput input_;
};

TEST_F(LoadCommandPlannerTest, WantedTargetsGetCommandsWithTheFencingNumber) {
  const LoadCommandPlan plan = ReadAndPlan(seconds(10));
  EXPECT_THAT(plan.orders,
              ElementsAre(LoadCommand{"t1", "llm", "v2", true, 7},
                          LoadCommand{"t2", "llm", "v2", true, 7}));
}

TEST_F(LoadCommandPlannerTest, StoreRateLimitsConcurrentLoads) {
  options_.max_loading = 1;
  planner_ = LoadCommandPlanner::Make("llm", "v2", options_);
  EXPECT_THAT(Targets(ReadAndPlan(seconds(10))), ElementsAre("t1"));
  input_.candidates[0].state = LoadState::kLoading;
  EXPECT_THAT(Targets(ReadAndPlan(seconds(20))), IsEmpty());
  input_.candidates[0].state = LoadState::kLoaded;
  EXPECT_THAT(Targets(ReadAndPlan(seconds(30))), ElementsAre("t2"));
}

TEST_F(LoadCommandPlannerTest, OldReadDoesNotRepeatACommand) {
  ReadAndPlan(seconds(10));
  EXPECT_THAT(Targets(PlanWithoutRead(minutes(5))), IsEmpty());
}

TEST_F(LoadCommandPlannerTest,
       ReadWhileTheCommandMayBeInFlightDoesNotRepeatIt) {
  ReadAndPlan(seconds(10));
  EXPECT_THAT(Targets(ReadAndPlan(seconds(14))), IsEmpty());
}

TEST_F(LoadCommandPlannerTest, LostCommandIsRepeatedAfterALaterRead) {
  ReadAndPlan(seconds(10));
  EXPECT_THAT(Targets(ReadAndPlan(seconds(15))), ElementsAre("t1", "t2"));
}

TEST_F(LoadCommandPlannerTest, LostResponseOfAnExecutedCommandIsNotRepeated) {
  ReadAndPlan(seconds(10));
  input_.candidates[0].state = LoadState::kLoading;
  input_.candidates[1].state = LoadState::kLoaded;
  const LoadCommandPlan plan = ReadAndPlan(seconds(15));
  EXPECT_THAT(plan.orders, IsEmpty());
  EXPECT_EQ(plan.ready, 1);
}

TEST_F(LoadCommandPlannerTest, TargetThatDiesWhileLoadingIsReplaced) {
  ReadAndPlan(seconds(10));
  input_.candidates[0].live = false;
  input_.candidates[1].state = LoadState::kLoading;
  const LoadCommandPlan plan = ReadAndPlan(seconds(20));
  EXPECT_THAT(Targets(plan), ElementsAre("t3"));
  EXPECT_EQ(plan.attainable, 2);
}

TEST_F(LoadCommandPlannerTest, DeadTargetWithoutReplacementIsExcluded) {
  input_.wanted = 3;
  input_.candidates[0].live = false;
  EXPECT_EQ(ReadAndPlan(seconds(10)).attainable, 2);
}

TEST_F(LoadCommandPlannerTest, TargetThatNeverLoadsIsExcluded) {
  options_.max_loading = 3;
  planner_ = LoadCommandPlanner::Make("llm", "v2", options_);
  input_.candidates[1].state = LoadState::kLoaded;
  input_.candidates[2].state = LoadState::kLoaded;
  input_.wanted = 3;
  for (int n = 1; n <= options_.max_orders; ++n) {
    EXPECT_THAT(Targets(ReadAndPlan(seconds(10 * n))), ElementsAre("t1"));
  }
  const LoadCommandPlan plan = ReadAndPlan(minutes(1));
  EXPECT_THAT(plan.orders, IsEmpty());
  EXPECT_THAT(plan.excluded, ElementsAre("t1"));
  EXPECT_EQ(plan.attainable, 2);
}

TEST_F(LoadCommandPlannerTest, LoadThatTimesOutIsExcludedAndReplaced) {
  ReadAndPlan(seconds(10));
  input_.candidates[0].state = LoadState::kLoading;
  input_.candidates[1].state = LoadState::kLoaded;
  ReadAndPlan(seconds(20));
  const LoadCommandPlan plan = ReadAndPlan(seconds(21) + options_.load_timeout);
  EXPECT_THAT(plan.excluded, ElementsAre("t1"));
  EXPECT_THAT(Targets(plan), ElementsAre("t3"));
}

TEST_F(LoadCommandPlannerTest,
       PreviousHoldersCommandsExpireFirstWithoutFencing) {
  input_.candidates[0].checks_fencing = false;
  input_.held_since = Time(seconds(10));
  EXPECT_THAT(Targets(ReadAndPlan(seconds(14))), ElementsAre("t2"));
  input_.candidates[1].state = LoadState::kLoading;
  EXPECT_THAT(Targets(PlanWithoutRead(seconds(16))), IsEmpty());
  EXPECT_THAT(Targets(ReadAndPlan(seconds(16))), ElementsAre("t1"));
}

TEST_F(LoadCommandPlannerTest, UnknownStateGetsNoCommand) {
  input_.candidates[0].state = LoadState::kUnknown;
  EXPECT_THAT(Targets(ReadAndPlan(seconds(10))), ElementsAre("t2"));
}

TEST_F(LoadCommandPlannerTest, UnloadKeepsTheTargetsStillWanted) {
  for (ObservedTarget& target : input_.candidates) {
    target.state = LoadState::kLoaded;
    target.observed = Time(seconds(10));
  }
  input_.now = Time(seconds(10));
  input_.wanted = 1;
  const LoadCommandPlan plan = planner_->PlanUnloads(input_);
  EXPECT_THAT(plan.orders,
              ElementsAre(LoadCommand{"t2", "llm", "v2", false, 7},
                          LoadCommand{"t3", "llm", "v2", false, 7}));
}

}  // namespace
}  // namespace hornbeamcleat
