#include "src/control/apply_tracker.h"

#include <gtest/gtest.h>

#include <vector>

namespace hornbeamcleat {
namespace {

class ApplyTrackerTest : public testing::Test {
 protected:
  void Begin(std::uint64_t token) {
    tracker_.Begin(
        token,
        [this](const ApplyAnswer& answer) { answers_.push_back(answer.end); },
        Time(std::chrono::seconds(10)));
  }

  ApplyTracker tracker_;
  std::vector<ApplyEnd> answers_;
};

TEST_F(ApplyTrackerTest, AnsweredAppendWaitsForTheFold) {
  Begin(1);
  EXPECT_TRUE(tracker_.OnAppendEnd(1, AppendEnd::kDone, 7));
  EXPECT_TRUE(answers_.empty());
  tracker_.OnFolded(7, FoldResult::kConflict);
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kConflict});
}

TEST_F(ApplyTrackerTest, RecordFoldedBeforeTheAnswerIsFound) {
  Begin(1);
  tracker_.OnFolded(7, FoldResult::kApplied);
  tracker_.OnAppendEnd(1, AppendEnd::kDone, 7);
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kApplied});
}

TEST_F(ApplyTrackerTest, FailedAppendIsUnavailable) {
  Begin(1);
  tracker_.OnAppendEnd(1, AppendEnd::kFailed, 0);
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kUnavailable});
}

TEST_F(ApplyTrackerTest, WaitingTooLongIsUnknown) {
  Begin(1);
  tracker_.Tick(Time(std::chrono::seconds(10)));
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kUnknown});
}

TEST_F(ApplyTrackerTest, ForeignTokenIsLeftAlone) {
  EXPECT_FALSE(tracker_.OnAppendEnd(5, AppendEnd::kDone, 7));
}

}  // namespace
}  // namespace hornbeamcleat
