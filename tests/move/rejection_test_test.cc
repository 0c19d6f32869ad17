#include "src/move/rejection_test.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "src/move/evidence_limits.h"

namespace hornbeamcleat {
namespace {

class RejectionTestTest : public testing::Test {
 protected:
  void Reject(bool is_new, double share) {
    const RejectionTest::LogRatios ratios =
        RejectionTest::RatiosOf(is_new, share);
    for (std::size_t n = 0; n < ratios.size(); ++n) {
      sums_[n] += ratios[n];
    }
    test_.AddStartPoint();
    test_.Update(sums_);
  }

  std::mt19937 random_{7};
  RejectionTest test_;
  RejectionTest::LogRatios sums_{};
};

TEST_F(RejectionTestTest, RejectionsOfTheNewVersionAloneAreProofAfterAFew) {
  for (int i = 0; i < 5; ++i) {
    Reject(true, 0.05);
  }
  EXPECT_GE(test_.LogEValue(), std::log(2 / kFalsePositiveRate));
}

TEST_F(RejectionTestTest, RejectionsOfTheOldVersionAreNoProof) {
  for (int i = 0; i < 100; ++i) {
    Reject(false, 0.05);
  }
  EXPECT_LE(test_.LogEValue(), 0);
}

TEST_F(RejectionTestTest, RejectionsAtFullShareSayNothing) {
  for (int i = 0; i < 1'000; ++i) {
    Reject(true, 1);
    Reject(false, 0);
  }
  // One of 1,000 start points has not been added when the first one counts.
  EXPECT_NEAR(test_.LogEValue(), 0, 0.001);
}

// The stated probability of a mistake, over any number of looks.
TEST_F(RejectionTestTest, RejectionsByChanceAreRarelyProof) {
  int proofs = 0;
  constexpr int kMoves = 2'000;
  for (int move = 0; move < kMoves; ++move) {
    test_ = RejectionTest();
    sums_ = {};
    double highest = 0;
    for (int i = 0; i < 200; ++i) {
      const double share = i < 100 ? 0.1 : 0.25;
      Reject(std::bernoulli_distribution(share)(random_), share);
      highest = std::max(highest, test_.LogEValue());
    }
    proofs += highest >= -std::log(kFalsePositiveRate) ? 1 : 0;
  }
  EXPECT_LE(proofs, kFalsePositiveRate * kMoves);
}

}  // namespace
}  // namespace hornbeamcleat
