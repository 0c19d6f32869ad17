#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "src/move/fault_test.h"
#include "src/move/latency_test.h"

namespace hornbeamcleat {
namespace {

constexpr int kRuns = 400;
constexpr int kLooks = 400;
constexpr double kErrorRate = 0.05;  // nominal
constexpr double kOldRatio = 0.002;
constexpr double kExcess = 0.01;
constexpr double kDecay = 0.97;

/// Runs each test many times on equal versions and on worse ones.
class SequentialTestsTest : public testing::Test {
 protected:
  FaultCount Draw(int ends, double ratio) {
    std::binomial_distribution<std::uint64_t> faults(ends, ratio);
    return {static_cast<std::uint64_t>(ends), faults(random_)};
  }

  LogTimes DrawTimes(int n, double mean) {
    std::normal_distribution<double> normal(mean, 0.5);
    LogTimes out;
    for (int k = 0; k < n; ++k) {
      const double value = normal(random_);
      out += {1, value, value * value};
    }
    return out;
  }

  /// Whether the fault test ever rejects at the nominal error rate.
  bool FaultRunRejects(double ratio) {
    FaultTest test(kExcess);
    for (int n = 0; n < kLooks; ++n) {
      test.AddStartPoint();
      test.Add(Draw(3, ratio), Draw(300, kOldRatio), kDecay);
      if (test.LogEValue() >= std::log(1 / kErrorRate)) {
        return true;
      }
    }
    return false;
  }

  bool LatencyRunRejects(double slowdown) {
    LatencyTest test(1.25);
    LatencyReference old;
    for (int n = 0; n < kLooks; ++n) {
      old.Add(DrawTimes(30, 0), kDecay);
      test.AddStartPoint();
      test.Add(DrawTimes(1, std::log(slowdown)), old);
      if (test.LogEValue() >= std::log(1 / kErrorRate)) {
        return true;
      }
    }
    return false;
  }

  std::mt19937_64 random_{11};
};

TEST_F(SequentialTestsTest, EqualFaultRatiosAreRejectedAtMostAtTheErrorRate) {
  int rejected = 0;
  for (int n = 0; n < kRuns; ++n) {
    rejected += FaultRunRejects(kOldRatio) ? 1 : 0;
  }
  EXPECT_LE(rejected, kRuns * kErrorRate);
}

TEST_F(SequentialTestsTest, OneInFiftyFaultsAreNearlyAlwaysRejected) {
  int rejected = 0;
  for (int n = 0; n < kRuns; ++n) {
    rejected += FaultRunRejects(kOldRatio + 0.02) ? 1 : 0;
  }
  EXPECT_GE(rejected, kRuns * 0.99);
}

TEST_F(SequentialTestsTest, EqualTimesAreRejectedAtMostAtTheErrorRate) {
  int rejected = 0;
  for (int n = 0; n < kRuns; ++n) {
    rejected += LatencyRunRejects(1) ? 1 : 0;
  }
  EXPECT_LE(rejected, kRuns * kErrorRate);
}

TEST_F(SequentialTestsTest, SlowdownBeyondTheBoundIsRejected) {
  int rejected = 0;
  for (int n = 0; n < kRuns / 4; ++n) {
    rejected += LatencyRunRejects(1.5) ? 1 : 0;
  }
  EXPECT_EQ(rejected, kRuns / 4);
}

TEST_F(SequentialTestsTest, SingleVerySlowResponseIsNotRejected) {
  LatencyTest test(1.25);
  LatencyReference old;
  old.Add(DrawTimes(1'000, 0), kDecay);
  test.AddStartPoint();
  test.Add(DrawTimes(1, std::log(1'000)), old);
  EXPECT_LT(test.LogEValue(), std::log(1 / kErrorRate));
}

}  // namespace
}  // namespace hornbeamcleat
