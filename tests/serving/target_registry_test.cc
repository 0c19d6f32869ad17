#include "src/serving/target_registry.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class TargetRosterTest : public testing::Test {
 protected:
  static ServingTarget Spec(const std::string& id, bool is_draining = false) {
    ServingTarget spec;
    spec.id = id;
    spec.service = "s";
    spec.is_draining = is_draining;
    return spec;
  }

  std::size_t Listed() { return roster_.List(now_).size(); }

  Time now_{milliseconds(10'000)};
  TargetRegistry roster_{milliseconds(1'200)};
};

TEST_F(TargetRosterTest, ListWithSingleRemovedTargetDropsIt) {
  roster_.Replace({Spec("a"), Spec("b"), Spec("c")}, now_);
  roster_.Remove("a", now_);
  EXPECT_EQ(Listed(), 2U);
}

// Load: the store was away and most entries lapsed; their targets still run.
TEST_F(TargetRosterTest, ListWithMostTargetsVanishedKeepsThemForAWhile) {
  roster_.Replace({Spec("a"), Spec("b"), Spec("c")}, now_);
  roster_.Replace({Spec("a")}, now_);
  EXPECT_EQ(Listed(), 3U);
  EXPECT_EQ(roster_.NextChange(), now_ + milliseconds(1'200));
  now_ += milliseconds(1'200);
  EXPECT_EQ(Listed(), 1U);
}

TEST_F(TargetRosterTest, ListWithReturnedTargetHasItOnce) {
  roster_.Replace({Spec("a"), Spec("b")}, now_);
  roster_.Replace({}, now_);
  roster_.Put(Spec("a"));
  EXPECT_EQ(Listed(), 1U);
}

TEST_F(TargetRosterTest, RemoveOfLeavingTargetIsTakenAtItsWord) {
  roster_.Replace({Spec("a", true)}, now_);
  roster_.Remove("a", now_);
  EXPECT_EQ(Listed(), 0U);
}

}  // namespace
}  // namespace hornbeamcleat
