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
        [this](const ApplyAnswer& answer) { answers_.push_back(answer.end); },
        Time(std::chrono::seconds(10)));
  }

  ApplyTracker tracker_;
  std::vector<ApplyEnd> answers_;
};

TEST_F(ApplyTrackerTest, AnsweredAppendWaitsForTheFold) {
  Begin(1);
  EXPECT_TRUE(tracker_.OnAppendEnd(1, AppendEnd::kDone));
  EXPECT_TRUE(answers_.empty());
  tracker_.OnFolded({7, FoldResult::kConflict, "w1"});
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kConflict});
}

TEST_F(ApplyTrackerTest, RecordFoldedBeforeTheAnswerDecides) {
  Begin(1);
  tracker_.OnFolded({7, FoldResult::kApplied, "w1"});
  EXPECT_FALSE(tracker_.OnAppendEnd(1, AppendEnd::kDone));
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kApplied});
}

TEST_F(ApplyTrackerTest, LostAnswerIsResolvedByReading) {
  Begin(1);
  tracker_.OnAppendEnd(1, AppendEnd::kUnknown);
  tracker_.OnFolded({6, FoldResult::kApplied, "other"});
  EXPECT_TRUE(answers_.empty());
  tracker_.OnFolded({7, FoldResult::kApplied, "w1"});
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kApplied});
}

TEST_F(ApplyTrackerTest, FailedAppendIsUnavailable) {
  Begin(1);
  tracker_.OnAppendEnd(1, AppendEnd::kFailed);
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kUnavailable});
}

TEST_F(ApplyTrackerTest, WaitingTooLongIsUnknown) {
  Begin(1);
  tracker_.Tick(Time(std::chrono::seconds(10)));
  EXPECT_EQ(answers_, std::vector<ApplyEnd>{ApplyEnd::kUnknown});
}

TEST_F(ApplyTrackerTest, ForeignTokenIsLeftAlone) {
  EXPECT_FALSE(tracker_.OnAppendEnd(5, AppendEnd::kDone));
}

}  // namespace
}  // namespace hornbeamcleat
