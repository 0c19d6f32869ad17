#include "src/relay/buffer_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace hornbeamcleat {
namespace {

constexpr std::size_t kLimit = 1'000'000;
constexpr std::size_t kMax = 300'000;

class BufferBudgetTest : public testing::Test {
 protected:
  using Share = BufferBudget::Share;

  std::shared_ptr<BufferBudget> budget_ =
      std::make_shared<BufferBudget>(kLimit);
};

TEST_F(BufferBudgetTest, HolderBelowLimitHasOnlyItsOwnMaximum) {
  Share share(budget_);
  share.Set(kMax);
  EXPECT_FALSE(share.Exceeds(kMax));
  share.Set(kMax + 1);
  EXPECT_TRUE(share.Exceeds(kMax));
}

TEST_F(BufferBudgetTest, HolderOfMostExceedsItsPartOnceSumIsAboveLimit) {
  Share most(budget_);
  Share little(budget_);
  Share none(budget_);
  most.Set(kLimit - 100);
  little.Set(100);
  EXPECT_FALSE(most.Exceeds(kLimit));
  little.Set(200);
  EXPECT_TRUE(most.Exceeds(kLimit));
  EXPECT_FALSE(little.Exceeds(kLimit));
  EXPECT_FALSE(none.Exceeds(kLimit));
}

TEST_F(BufferBudgetTest, DestroyedHolderReturnsItsBytes) {
  {
    Share share(budget_);
    share.Set(10);
    EXPECT_EQ(budget_->Held(), 10U);
  }
  EXPECT_EQ(budget_->Held(), 0U);
}

TEST_F(BufferBudgetTest, HolderWithoutBudgetHasOnlyItsOwnMaximum) {
  Share share(nullptr);
  share.Set(kMax + 1);
  EXPECT_TRUE(share.Exceeds(kMax));
}

// Holders grow one after the other or in turns, and keep what they have once
// they exceed their part.
TEST_F(BufferBudgetTest, SumStaysBelowTwiceTheLimitAndMinimumParts) {
  constexpr std::size_t kStep = 1'000;
  constexpr std::size_t kMinPart = 10'000;
  for (const int n : {1, 3, 22, 120}) {
    for (const bool in_turns : {false, true}) {
      std::vector<std::unique_ptr<Share>> shares;
      std::vector<std::size_t> held(static_cast<std::size_t>(n), 0);
      shares.reserve(held.size());
      for (int i = 0; i < n; ++i) {
        shares.push_back(std::make_unique<Share>(budget_));
      }
      for (std::size_t i = 0; i < held.size() * kMax / kStep; ++i) {
        const std::size_t k = in_turns ? i % held.size() : i / (kMax / kStep);
        if (!shares[k]->Exceeds(kMax)) {
          shares[k]->Set(held[k] += kStep);
        }
      }
      EXPECT_LT(budget_->Held(), 2 * kLimit + held.size() * kMinPart)
          << n << in_turns;
    }
  }
}

}  // namespace
}  // namespace hornbeamcleat
