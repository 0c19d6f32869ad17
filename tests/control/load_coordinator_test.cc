#include "src/control/load_coordinator.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

class LoadCoordinatorTest : public testing::Test {
 protected:
  void SetUp() override {
    config_.serving["llm"] = "v1";
    MoveSpec move;
    move.model = "llm";
    move.from_version = "v1";
    move.to_version = "v2";
    config_.resources[{"Move", "m"}] = {"m", 1, move};
    AddTarget("old", TargetKind::kEngine, "v1");
    AddTarget("new-1", TargetKind::kEngine, "v2");
    AddTarget("new-2", TargetKind::kEngine, "v2");
  }

  void AddTarget(const std::string& name, TargetKind kind,
                 const std::string& version) {
    TargetSpec spec;
    spec.kind = kind;
    spec.address = "127.0.0.1:9";
    spec.model = "llm";
    spec.version = version;
    spec.checks_fencing = true;
    config_.resources[{"Target", name}] = {name, 2, spec};
  }

  // Reports `state` for both new targets.
  void Observe(LoadState state) {
    for (const TargetQuery& target : coordinator_.TargetsToQuery(config_)) {
      coordinator_.OnTargetState(target, state, now_);
    }
  }

  std::vector<AddressedLoadCommand> Plan() {
    return coordinator_.Plan(config_, 7, held_since_, now_);
  }

  ConfigState config_;
  LoadCoordinator coordinator_{std::chrono::seconds(5)};
  Time held_since_ = Time(std::chrono::seconds(1));
  Time now_ = Time(std::chrono::seconds(10));
};

TEST_F(LoadCoordinatorTest, OnlyTargetsOfTheNewVersionAreQueried) {
  const std::vector<TargetQuery> targets = coordinator_.TargetsToQuery(config_);
  ASSERT_EQ(targets.size(), 2U);
  EXPECT_EQ(targets.front().target, "new-1");
}

TEST_F(LoadCoordinatorTest, AbsentVersionGetsLoadCommandWithFencingNumber) {
  Observe(LoadState::kAbsent);
  const std::vector<AddressedLoadCommand> orders = Plan();
  ASSERT_FALSE(orders.empty());
  EXPECT_EQ(orders.front().command.fencing, 7U);
  EXPECT_EQ(orders.front().address, "127.0.0.1:9");
}

TEST_F(LoadCoordinatorTest, LoadedTargetsAreReadyAndGetNoCommand) {
  Observe(LoadState::kLoaded);
  EXPECT_TRUE(Plan().empty());
  EXPECT_EQ(coordinator_.Ready(config_).at("v2"), 2);
}

TEST_F(LoadCoordinatorTest, ServiceIsReadyWithoutQuery) {
  AddTarget("plain", TargetKind::kService, "v2");
  EXPECT_EQ(coordinator_.Ready(config_).at("v2"), 1);
}

TEST_F(LoadCoordinatorTest, TargetWithFailedQueriesIsExcluded) {
  Observe(LoadState::kLoaded);
  const TargetQuery dead = coordinator_.TargetsToQuery(config_).back();
  for (int i = 0; i < 5; ++i) {
    coordinator_.OnTargetQueryFailed(dead);
  }
  Plan();
  EXPECT_EQ(coordinator_.Attainable().at("v2"), 1);
}

TEST_F(LoadCoordinatorTest, FinishedMoveNeedsNoQueriesOrCommands) {
  config_.moves["m"].phase = "Done";
  EXPECT_TRUE(coordinator_.TargetsToQuery(config_).empty());
  EXPECT_TRUE(Plan().empty());
}

}  // namespace
}  // namespace hornbeamcleat
