#include "src/serving/caller_patience.h"

#include <gtest/gtest.h>

#include <random>

namespace hornbeamcleat {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

class CallerPatienceTest : public testing::Test {
 protected:
  /// First attempts differ by up to 15% in the time that their callers wait.
  Duration FirstAttempt() {
    return milliseconds(
        std::uniform_int_distribution<>(10'200, 12'000)(random_));
  }

  void AddFirstAttempts(int n) {
    for (int i = 0; i < n; ++i) {
      patience_.WaitedBefore("r", FirstAttempt());
    }
  }

  std::mt19937 random_{1};
  CallerPatience patience_;
};

TEST_F(CallerPatienceTest, WaitedBeforeOfFirstAttemptsIsZero) {
  for (int i = 0; i < 10'000; ++i) {
    EXPECT_EQ(patience_.WaitedBefore("r", FirstAttempt()), Duration(0));
  }
}

// A VM that has just started must not take its first callers for retries.
TEST_F(CallerPatienceTest, WaitedBeforeOfFewRequestsIsZero) {
  AddFirstAttempts(1);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(patience_.WaitedBefore("r", milliseconds(100)), Duration(0));
  }
}

// Half of the requests are retries, as when all callers are refused once and
// told to return after a quarter to a third of the time that they have left.
TEST_F(CallerPatienceTest, WaitedBeforeAmongManyRetriesTellsThemApart) {
  constexpr int kCallers = 10'000;
  AddFirstAttempts(100);
  std::uniform_real_distribution<> left(0.67, 0.75);
  int first_taken_for_retries = 0;
  int retries_found = 0;
  for (int i = 0; i < kCallers; ++i) {
    const Duration first = FirstAttempt();
    const Duration retry(static_cast<std::int64_t>(
        static_cast<double>(first.count()) * left(random_)));
    first_taken_for_retries +=
        patience_.WaitedBefore("r", first) > Duration(0) ? 1 : 0;
    retries_found += patience_.WaitedBefore("r", retry) > Duration(0) ? 1 : 0;
  }
  EXPECT_EQ(first_taken_for_retries, 0);
  EXPECT_GE(retries_found, kCallers * 95 / 100);
}

// Callers that aren't under control may state any time. A few of them must not
// make others look like retries.
TEST_F(CallerPatienceTest, WaitedBeforeAfterOddTimesIsZeroForFirstAttempts) {
  AddFirstAttempts(200);
  for (const Duration odd :
       {Duration(0), Duration(hours(1'000'000)), Duration(milliseconds(-5))}) {
    for (int i = 0; i < 3; ++i) {
      patience_.WaitedBefore("r", odd);
    }
  }
  AddFirstAttempts(30);
  EXPECT_EQ(patience_.WaitedBefore("r", FirstAttempt()), Duration(0));
}

// The first caller of a route stated a day, which made all others late retries.
TEST_F(CallerPatienceTest, WaitedBeforeAfterHugeFirstTimeIsZero) {
  patience_.WaitedBefore("r", hours(24));
  for (int i = 0; i < 1'000; ++i) {
    EXPECT_EQ(patience_.WaitedBefore("r", FirstAttempt()), Duration(0));
  }
}

// Two groups of callers with times of their own are no retries of each other.
TEST_F(CallerPatienceTest, WaitedBeforeOfCallersWithShortTimesIsZero) {
  for (int i = 0; i < 1'000; ++i) {
    EXPECT_EQ(patience_.WaitedBefore("r", milliseconds(30'000)), Duration(0));
    EXPECT_EQ(patience_.WaitedBefore("r", milliseconds(10'000)), Duration(0));
  }
}

TEST_F(CallerPatienceTest, WaitedBeforeKeepsRoutesApart) {
  AddFirstAttempts(100);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(patience_.WaitedBefore("short", milliseconds(1'000)),
              Duration(0));
  }
}

}  // namespace
}  // namespace hornbeamcleat
