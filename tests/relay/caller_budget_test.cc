#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "src/relay/buffer_budget.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kLimit = 1'000'000;
constexpr std::size_t kBodyBytes = 100'000;
constexpr std::size_t kMinPartBytes = 8'192;

/// Holders that others may end.
class CallerBudgetTest : public testing::Test {
 protected:
  using Share = BufferBudget::Share;

  Share* AddHolder(std::size_t bytes) {
    shares_.push_back(std::make_unique<Share>(budget_));
    Share* share = shares_.back().get();
    share->SetReclaim([this, share] {
      share->Set(0);
      ended_.push_back(share);
    });
    share->SetReclaimable(true);
    share->Set(bytes);
    return share;
  }

  std::shared_ptr<BufferBudget> budget_ =
      std::make_shared<BufferBudget>(kLimit);
  std::vector<std::unique_ptr<Share>> shares_;
  std::vector<Share*> ended_;
};

// Guards against holders that stop just short of their end and thereby keep
// the whole limit.
TEST_F(CallerBudgetTest, StalledHoldersAreEndedForOneThatGrows) {
  for (std::size_t i = 0; i < kLimit / kBodyBytes; ++i) {
    AddHolder(kBodyBytes);
  }
  Share* growing = AddHolder(1);
  for (std::size_t bytes = 2; bytes < 100; ++bytes) {
    growing->Set(bytes);
  }
  growing->Set(kBodyBytes);
  EXPECT_TRUE(growing->MakeRoom());
  EXPECT_EQ(ended_.size(), 1U);
  EXPECT_LE(budget_->Held(), kLimit);
}

TEST_F(CallerBudgetTest, LargestHolderIsRefusedIfNoneIsStalled) {
  AddHolder(kLimit / 2);
  Share* largest = AddHolder(kLimit);
  EXPECT_FALSE(largest->MakeRoom());
  EXPECT_TRUE(ended_.empty());
}

TEST_F(CallerBudgetTest, LargerHolderIsEndedForOneWithinItsPart) {
  Share* largest = AddHolder(kLimit);
  Share* little = AddHolder(kBodyBytes);
  EXPECT_TRUE(little->MakeRoom());
  EXPECT_EQ(ended_, std::vector<Share*>{largest});
}

// Guards against a crowd whose requests are all in progress refusing ordinary
// callers.
TEST_F(CallerBudgetTest, FewKilobytesAreKeptWhileNoneCanBeEnded) {
  AddHolder(2 * kLimit)->SetReclaimable(false);
  EXPECT_TRUE(AddHolder(kMinPartBytes)->MakeRoom());
  EXPECT_FALSE(AddHolder(kMinPartBytes + 1)->MakeRoom());
  EXPECT_TRUE(ended_.empty());
}

}  // namespace
}  // namespace hornbeamcleat
