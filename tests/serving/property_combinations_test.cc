#include "src/serving/property_combinations.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace hornbeamcleat {
namespace {

class PropertyCombinationsTest : public testing::Test {
 protected:
  static RequestProperty Part(const std::string& text) {
    return {PropertyKind::kPart, text};
  }

  static bool Contains(const std::vector<RequestProperty>& all,
                       RequestProperty property) {
    return std::find(all.begin(), all.end(), property) != all.end();
  }

  static int CountOf(const std::vector<RequestProperty>& all,
                     PropertyKind kind) {
    return static_cast<int>(std::count_if(
        all.begin(), all.end(), [kind](const RequestProperty& property) {
          return property.Kind() == kind;
        }));
  }

  Time now_ = Time(std::chrono::seconds(100));
  const std::vector<RequestProperty> request_ = {
      {PropertyKind::kContent, "x"}, Part("a"), Part("b"), Part("c")};
  PropertyCombinations combinations_;
};

TEST_F(PropertyCombinationsTest, OnLostGivesPairsThenTriples) {
  EXPECT_EQ(combinations_.OnLost(request_, now_), request_);
  const std::vector<RequestProperty> second =
      combinations_.OnLost(request_, now_);
  EXPECT_TRUE(Contains(second, RequestProperty::PairOf(Part("c"), Part("a"))));
  EXPECT_EQ(CountOf(second, PropertyKind::kPair), 3);
  EXPECT_EQ(CountOf(second, PropertyKind::kTriple), 0);
  const std::vector<RequestProperty> third =
      combinations_.OnLost(request_, now_);
  EXPECT_TRUE(Contains(
      third, RequestProperty::TripleOf(Part("c"), Part("a"), Part("b"))));
  EXPECT_EQ(CountOf(third, PropertyKind::kTriple), 1);
}

TEST_F(PropertyCombinationsTest, OnLostCountsLossesOfPeers) {
  combinations_.Remember(Part("a"), now_);
  combinations_.Remember(Part("b"), now_);
  EXPECT_EQ(CountOf(combinations_.OnLost(request_, now_), PropertyKind::kPair),
            1);
}

TEST_F(PropertyCombinationsTest, ExpireForgetsLosses) {
  combinations_.OnLost(request_, now_);
  combinations_.Expire(now_);
  EXPECT_EQ(combinations_.OnLost(request_, now_), request_);
}

TEST_F(PropertyCombinationsTest, OnLostOfManyPartsCombinesFirstOnes) {
  constexpr int kParts = 100;
  std::vector<RequestProperty> request;
  request.reserve(kParts);
  for (int i = 0; i < kParts; ++i) {
    request.push_back(Part(std::to_string(i)));
  }
  combinations_.OnLost(request, now_);
  EXPECT_EQ(CountOf(combinations_.OnLost(request, now_), PropertyKind::kPair),
            8 * 7 / 2);
}

TEST_F(PropertyCombinationsTest, ForEachGivesTriplesIfWanted) {
  for (const bool with_triples : {false, true}) {
    std::vector<RequestProperty> all;
    PropertyCombinations::ForEach(
        request_, with_triples,
        [&all](RequestProperty property) { all.push_back(property); });
    EXPECT_EQ(all.size(), with_triples ? 4U : 3U);
  }
}

}  // namespace
}  // namespace hornbeamcleat
