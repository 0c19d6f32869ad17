#include "src/serving/retry_schedule.h"

#include <gtest/gtest.h>

#include <set>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RetrySchedule::Priority kPriority{0, 1};
constexpr Duration kEstimate = milliseconds(100);
constexpr Duration kMaxDelay = seconds(4);

class RetryScheduleTest : public testing::Test {
 protected:
  /// One second of requests, of which some are refused.
  Duration RunSecond(int arrivals, int refusals) {
    Duration last{0};
    for (int i = 0; i < arrivals; ++i) {
      now_ += seconds(1) / arrivals;
      schedule_.OnArrival(kPriority, now_);
      if (i >= arrivals - refusals) {
        last = Refuse(0);
      }
    }
    return last;
  }

  Duration Refuse(std::uint32_t seed, Duration max_delay = kMaxDelay) {
    return schedule_.OnRefused(kPriority, kEstimate, max_delay, seed, now_);
  }

  Time now_{seconds(100)};
  RetrySchedule schedule_;
};

// At five times the capacity, callers that retry after the time to the next
// free slot are refused again.
TEST_F(RetryScheduleTest, OnRefusedUnderOverloadUsesDelayThatCallerFollows) {
  EXPECT_GE(RunSecond(100, 85), kMaxDelay * 3 / 4);
  EXPECT_LE(RunSecond(100, 85), kMaxDelay);
}

// Three of four callers that retry at once are served, most of them in time.
TEST_F(RetryScheduleTest, OnRefusedOfFewKeepsEstimate) {
  EXPECT_EQ(RunSecond(200, 1), kEstimate);
  EXPECT_EQ(RunSecond(200, 50), kEstimate);
}

// Callers that are refused in one instant must not retry in one instant.
TEST_F(RetryScheduleTest, OnRefusedSpreadsCallers) {
  RunSecond(100, 85);
  std::set<Duration> delays;
  for (std::uint32_t i = 0; i < 100; ++i) {
    delays.insert(Refuse(i * 42'949'672U));
  }
  EXPECT_GE(delays.size(), 90U);
  EXPECT_GE(*delays.rbegin() - *delays.begin(), kMaxDelay / 5);
}

TEST_F(RetryScheduleTest, OnRefusedWithUnknownMaximumKeepsEstimate) {
  RunSecond(100, 80);
  EXPECT_EQ(Refuse(1, Duration(0)), kEstimate);
}

// The overload of some seconds ago is no reason to send a caller away for long.
TEST_F(RetryScheduleTest, OnRefusedAfterOverloadForgetsIt) {
  RunSecond(100, 80);
  now_ += seconds(5);
  RunSecond(100, 0);
  EXPECT_LE(Refuse(0), milliseconds(1'000));
}

TEST_F(RetryScheduleTest, OnRefusedCountsPrioritiesApart) {
  RunSecond(100, 80);
  for (int i = 0; i < 100; ++i) {
    schedule_.OnArrival({0, 0}, now_);
  }
  EXPECT_LE(schedule_.OnRefused({0, 0}, kEstimate, kMaxDelay, 0, now_),
            2 * kEstimate);
}

}  // namespace
}  // namespace hornbeamcleat
