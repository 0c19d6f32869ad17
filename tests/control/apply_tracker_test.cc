#include "src/control/apply_tracker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace hornbeamcleat {
namespace {

class ApplyTrackerTest : public testing::Test {
 protected:
  void Begin(std::uint64_t token) {
    tracker_.Begin(
        token, "w" + std::to_string(token),
        [this](const ApplyResult& result) {
          statuses_.push_back(result.status);
        },
        Time(std::chrono::seconds(10)));
  }

  ApplyTracker tracker_;
  std::vector<ApplyStatus> statuses_;
};

TEST_F(ApplyTrackerTest, CompletedAppendWaitsForItsRecord) {
  Begin(1);
  EXPECT_TRUE(tracker_.OnAppendFinished(1, AppendStatus::kDone));
  EXPECT_TRUE(statuses_.empty());
  tracker_.OnFolded({7, FoldResult::kConflict, "w1"});
  EXPECT_EQ(statuses_, std::vector<ApplyStatus>{ApplyStatus::kConflict});
}

TEST_F(ApplyTrackerTest, RecordReadBeforeAppendFinishesDecides) {
  Begin(1);
  tracker_.OnFolded({7, FoldResult::kApplied, "w1"});
  EXPECT_FALSE(tracker_.OnAppendFinished(1, AppendStatus::kDone));
  EXPECT_EQ(statuses_, std::vector<ApplyStatus>{ApplyStatus::kApplied});
}

TEST_F(ApplyTrackerTest, UnknownAppendIsResolvedByReading) {
  Begin(1);
  tracker_.OnAppendFinished(1, AppendStatus::kUnknown);
  tracker_.OnFolded({6, FoldResult::kApplied, "other"});
  EXPECT_TRUE(statuses_.empty());
  tracker_.OnFolded({7, FoldResult::kApplied, "w1"});
  EXPECT_EQ(statuses_, std::vector<ApplyStatus>{ApplyStatus::kApplied});
}

TEST_F(ApplyTrackerTest, FailedAppendIsUnavailable) {
  Begin(1);
  tracker_.OnAppendFinished(1, AppendStatus::kFailed);
  EXPECT_EQ(statuses_, std::vector<ApplyStatus>{ApplyStatus::kUnavailable});
}

TEST_F(ApplyTrackerTest, ExpiredChangeIsUnknown) {
  Begin(1);
  tracker_.Tick(Time(std::chrono::seconds(10)));
  EXPECT_EQ(statuses_, std::vector<ApplyStatus>{ApplyStatus::kUnknown});
}

TEST_F(ApplyTrackerTest, UnknownTokenIsNotHandled) {
  EXPECT_FALSE(tracker_.OnAppendFinished(5, AppendStatus::kDone));
}

}  // namespace
}  // namespace hornbeamcleat
