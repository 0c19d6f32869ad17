#include "src/entry/address_ranking.h"

#include <gtest/gtest.h>

#include <map>

namespace hornbeamcleat {
namespace {

constexpr int kCalls = 6'000;
constexpr int kThird = kCalls / 3;
constexpr int kSixth = kCalls / 6;
constexpr int kTolerance = kCalls / 20;

class AddressRankingTest : public testing::Test {
 protected:
  void Add(const std::string& name, const std::string& domain, int load) {
    entries_.push_back({name, "http://" + name, domain, load});
  }

  // Number of calls in which each entry is ranked first.
  std::map<std::string, int> CountFirst(const std::string& domain) {
    std::map<std::string, int> out;
    for (int i = 0; i < kCalls; ++i) {
      ++out[RankEntries(entries_, domain, &random_).front().name];
    }
    return out;
  }

  std::mt19937_64 random_{1};
  std::vector<EntryAddress> entries_;
};

TEST_F(AddressRankingTest, EqualEntriesSpreadEvenly) {
  Add("a", "d1", 0);
  Add("b", "d2", 0);
  Add("c", "d3", 0);
  for (const auto& [name, n] : CountFirst("")) {
    EXPECT_NEAR(n, kThird, kTolerance) << name;
  }
}

TEST_F(AddressRankingTest, LocalEntriesComeFirst) {
  Add("remote", "d1", 0);
  Add("local", "d2", 500);
  EXPECT_EQ(CountFirst("d2")["local"], kCalls);
}

TEST_F(AddressRankingTest, FullLocalEntryComesLast) {
  Add("full", "d2", kFullLoadPermille);
  Add("remote", "d1", 0);
  EXPECT_EQ(RankEntries(entries_, "d2", &random_).back().name, "full");
}

TEST_F(AddressRankingTest, LoadedEntryComesFirstInProportionToFreeCapacity) {
  Add("idle", "d1", 0);
  Add("loaded", "d1", 500);
  EXPECT_NEAR(CountFirst("d1")["loaded"], kThird, kTolerance);
}

TEST_F(AddressRankingTest, CallersOfFailedEntrySpreadOverTheOthers) {
  Add("a", "d1", 0);
  Add("b", "d1", 0);
  Add("c", "d1", 0);
  std::map<std::string, int> seconds;
  for (int i = 0; i < kCalls; ++i) {
    const std::vector<EntryAddress> ranked =
        RankEntries(entries_, "d1", &random_);
    if (ranked[0].name == "a") {
      ++seconds[ranked[1].name];
    }
  }
  EXPECT_NEAR(seconds["b"], kSixth, kTolerance);
  EXPECT_NEAR(seconds["c"], kSixth, kTolerance);
}

}  // namespace
}  // namespace hornbeamcleat
