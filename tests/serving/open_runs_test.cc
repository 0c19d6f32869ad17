#include "src/serving/open_runs.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class OpenRunsTest : public testing::Test {
 protected:
  OpenRuns::OpenRun Left(Time ended_at) const {
    return {TargetRun::Make({}, "t", ended_at), ended_at, std::nullopt};
  }
  OpenRuns::OpenRun Answered(Time ended_at) const {
    return {TargetRun::Make({}, "t", ended_at), ended_at, ended_at};
  }

  const std::uint32_t target_ = Hash32("t");
  Time now_ = Time(seconds(1'000));
  OpenRuns runs_;
};

TEST_F(OpenRunsTest, LossTakesRecentRunsOfItsTargetOnce) {
  runs_.Add(Left(now_ - seconds(2)));
  runs_.Add(Left(now_));
  runs_.Add(Answered(now_));
  EXPECT_TRUE(runs_.TakeLost(target_ + 1, now_).empty());
  EXPECT_EQ(runs_.TakeLost(target_, now_ + milliseconds(999)).size(), 2U);
  EXPECT_TRUE(runs_.TakeLost(target_, now_).empty());
  EXPECT_TRUE(runs_.IsEmpty());
}

TEST_F(OpenRunsTest, LaterAnswerProvesAnswersButNotRunsGivenUp) {
  runs_.Add(Left(now_));
  runs_.Add(Answered(now_));
  EXPECT_TRUE(runs_.TakeProven(target_, now_ - milliseconds(1)).empty());
  EXPECT_EQ(runs_.TakeProven(target_, now_ + milliseconds(1)).size(), 1U);
  EXPECT_EQ(runs_.TakeLost(target_, now_ + milliseconds(2)),
            std::vector<OpenRuns::OpenRun>{Left(now_)});
}

TEST_F(OpenRunsTest, MuchLaterAnswerMayComeFromARestartedTarget) {
  runs_.Add(Answered(now_));
  EXPECT_TRUE(runs_.TakeProven(target_, now_ + seconds(1)).empty());
}

TEST_F(OpenRunsTest, NumberIsBoundedAndFreedByExpiry) {
  for (std::size_t i = 0; i < 2 * OpenRuns::kMaxRuns; ++i) {
    runs_.Add(Left(now_));
  }
  EXPECT_EQ(runs_.TakeLost(target_, now_).size(), OpenRuns::kMaxRuns);
  for (std::size_t i = 0; i < OpenRuns::kMaxRuns; ++i) {
    runs_.Add(Left(now_));
  }
  runs_.Expire(now_ + seconds(1));
  EXPECT_TRUE(runs_.IsEmpty());
  runs_.Add(Answered(now_ + seconds(2)));
  EXPECT_EQ(runs_.LatestAnswerEnd(target_, now_ + seconds(2)),
            now_ + seconds(2));
  EXPECT_FALSE(runs_.LatestAnswerEnd(target_, now_ + seconds(3)).has_value());
}

}  // namespace
}  // namespace hornbeamcleat
