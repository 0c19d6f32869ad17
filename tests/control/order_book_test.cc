#include "src/control/order_book.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

class OrderBookTest : public testing::Test {
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

  // Reads both targets at `now`.
  void Observe(LoadState state) {
    for (const TargetToObserve& target : book_.ToObserve(config_)) {
      book_.OnObserved(target, state, now_);
    }
  }

  std::vector<AddressedOrder> Plan() {
    return book_.Plan(config_, 7, held_since_, now_);
  }

  ConfigState config_;
  OrderBook book_{std::chrono::seconds(5)};
  Time held_since_ = Time(std::chrono::seconds(1));
  Time now_ = Time(std::chrono::seconds(10));
};

TEST_F(OrderBookTest, OnlyTargetsOfTheNewVersionAreObserved) {
  const std::vector<TargetToObserve> targets = book_.ToObserve(config_);
  ASSERT_EQ(targets.size(), 2U);
  EXPECT_EQ(targets.front().target, "new-1");
}

TEST_F(OrderBookTest, AbsentVersionIsOrderedWithTheFencingNumber) {
  Observe(LoadState::kAbsent);
  const std::vector<AddressedOrder> orders = Plan();
  ASSERT_FALSE(orders.empty());
  EXPECT_EQ(orders.front().order.fencing, 7U);
  EXPECT_EQ(orders.front().address, "127.0.0.1:9");
}

TEST_F(OrderBookTest, LoadedTargetsAreReadyAndGetNoOrder) {
  Observe(LoadState::kLoaded);
  EXPECT_TRUE(Plan().empty());
  EXPECT_EQ(book_.Ready(config_).at("v2"), 2);
}

TEST_F(OrderBookTest, ServiceIsReadyUnseen) {
  AddTarget("plain", TargetKind::kService, "v2");
  EXPECT_EQ(book_.Ready(config_).at("v2"), 1);
}

TEST_F(OrderBookTest, TargetThatCannotBeReadIsLeftOut) {
  Observe(LoadState::kLoaded);
  const TargetToObserve dead = book_.ToObserve(config_).back();
  for (int i = 0; i < 5; ++i) {
    book_.OnObserveFailed(dead);
  }
  Plan();
  EXPECT_EQ(book_.Attainable().at("v2"), 1);
}

TEST_F(OrderBookTest, EndedMoveNeedsNothing) {
  config_.moves["m"].phase = "Done";
  EXPECT_TRUE(book_.ToObserve(config_).empty());
  EXPECT_TRUE(Plan().empty());
}

}  // namespace
}  // namespace hornbeamcleat
