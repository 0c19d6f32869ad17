#include "src/serving/target_registry.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class TargetRegistryTest : public testing::Test {
 protected:
  static ServingTarget Spec(const std::string& id, bool is_draining = false) {
    ServingTarget spec;
    spec.id = id;
    spec.service = "s";
    spec.is_draining = is_draining;
    return spec;
  }

  std::size_t Listed() { return registry_.List(now_).size(); }

  Time now_{milliseconds(10'000)};
  TargetRegistry registry_{milliseconds(1'200)};
};

TEST_F(TargetRegistryTest, ListWithSingleRemovedTargetDropsIt) {
  registry_.Replace({Spec("a"), Spec("b"), Spec("c")}, now_);
  registry_.Remove("a", now_);
  EXPECT_EQ(Listed(), 2U);
}

// A list that repeats an entry would start the target's cold time again.
TEST_F(TargetRegistryTest, ListThatRepeatsEntryKeepsTimeOfFirstReading) {
  ServingTarget spec = Spec("a");
  spec.read_at = now_;
  registry_.Replace({spec}, now_);
  spec.read_at = now_ + milliseconds(500);
  registry_.Replace({spec}, now_);
  EXPECT_EQ(registry_.List(now_)[0].read_at, now_);
  spec.cold_remaining = milliseconds(3'000);
  registry_.Replace({spec}, now_);
  EXPECT_EQ(registry_.List(now_)[0].read_at, now_ + milliseconds(500));
  spec.read_at = now_ + milliseconds(900);
  registry_.Put(spec);
  EXPECT_EQ(registry_.List(now_)[0].read_at, now_ + milliseconds(900));
}

// After an outage of the store most entries have expired although their targets
// are still running.
TEST_F(TargetRegistryTest, ListWithMostTargetsMissingKeepsThemForGracePeriod) {
  registry_.Replace({Spec("a"), Spec("b"), Spec("c")}, now_);
  registry_.Replace({Spec("a")}, now_);
  EXPECT_EQ(Listed(), 3U);
  EXPECT_EQ(registry_.NextChange(), now_ + milliseconds(1'200));
  now_ += milliseconds(1'200);
  EXPECT_EQ(Listed(), 1U);
}

TEST_F(TargetRegistryTest, ListWithReturnedTargetListsItOnce) {
  registry_.Replace({Spec("a"), Spec("b")}, now_);
  registry_.Replace({}, now_);
  registry_.Put(Spec("a"));
  EXPECT_EQ(Listed(), 1U);
}

TEST_F(TargetRegistryTest, TargetMissingFromCopyOfStoreIsKeptForItsTime) {
  registry_.Replace({Spec("a"), Spec("b"), Spec("new")}, now_);
  registry_.Replace({Spec("a"), Spec("b")}, now_, milliseconds(3'000));
  EXPECT_EQ(Listed(), 3U);
  now_ += milliseconds(2'999);
  EXPECT_EQ(Listed(), 3U);
  now_ += milliseconds(1);
  EXPECT_EQ(Listed(), 2U);
}

TEST_F(TargetRegistryTest, RemoveOfDrainingTargetDropsItAtOnce) {
  registry_.Replace({Spec("a", true)}, now_);
  registry_.Remove("a", now_);
  EXPECT_EQ(Listed(), 0U);
}

}  // namespace
}  // namespace hornbeamcleat
