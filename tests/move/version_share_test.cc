#include "hornbeamcleat/move/version_share.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace hornbeamcleat {
namespace {

constexpr int kRequests = 200'000;
constexpr int kOneInTwenty = 10'000;
constexpr int kOneInHundred = 2'000;

class VersionShareTest : public testing::Test {
 protected:
  static VersionShare Share(const std::string& to_version, int permille) {
    VersionShare share;
    share.model = "llm";
    share.from_version = "v1";
    share.to_version = to_version;
    share.share_permille = permille;
    return share;
  }

  std::mt19937_64 random_{7};
};

TEST_F(VersionShareTest, ShareOfRequestsIsTheShareAskedFor) {
  const VersionShare share = Share("v2", 50);
  int chosen = 0;
  for (int n = 0; n < kRequests; ++n) {
    chosen += ChoosesNewVersion(share, random_()) ? 1 : 0;
  }
  // Five standard deviations of a binomial count.
  EXPECT_NEAR(chosen, kOneInTwenty, 500);
}

TEST_F(VersionShareTest, ChoiceStaysAtGreaterShares) {
  for (int n = 0; n < 2'000; ++n) {
    const std::uint64_t hash = random_();
    bool chosen = false;
    for (int permille = 0; permille <= 1'000; permille += 10) {
      const bool now = ChoosesNewVersion(Share("v2", permille), hash);
      ASSERT_TRUE(now || !chosen);
      chosen = now;
    }
    EXPECT_TRUE(chosen);
  }
}

TEST_F(VersionShareTest, ZeroShareChoosesNoRequest) {
  for (int n = 0; n < 10'000; ++n) {
    ASSERT_FALSE(ChoosesNewVersion(Share("v2", 0), random_()));
  }
}

TEST_F(VersionShareTest, ChoiceIsIndependentOfOtherUsesOfTheHash) {
  constexpr int kSlots = 10;
  std::array<int, kSlots> chosen{};
  for (int n = 0; n < kRequests; ++n) {
    const std::uint64_t hash = random_();
    if (ChoosesNewVersion(Share("v2", 100), hash)) {
      ++chosen[hash % 1'000 / 100];
    }
  }
  for (const int count : chosen) {
    EXPECT_NEAR(count, kOneInHundred, 250);
  }
}

TEST_F(VersionShareTest, TwoMovesChooseIndependently) {
  int both = 0;
  for (int n = 0; n < kRequests; ++n) {
    const std::uint64_t hash = random_();
    const bool first = ChoosesNewVersion(Share("v2", 100), hash);
    const bool second = ChoosesNewVersion(Share("v3", 100), hash);
    both += first && second ? 1 : 0;
  }
  EXPECT_NEAR(both, kOneInHundred, 250);
}

}  // namespace
}  // namespace hornbeamcleat
