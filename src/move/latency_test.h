#ifndef HORNBEAMCLEAT_SRC_MOVE_LATENCY_TEST_H_
#define HORNBEAMCLEAT_SRC_MOVE_LATENCY_TEST_H_

#include <cstdint>

#include "src/move/change_mixture.h"

namespace hornbeamcleat {

/// Sums of the natural logarithms of times in seconds.
struct LogTimes {
  std::uint64_t n = 0;
  double sum = 0;
  double square_sum = 0;

  bool operator==(const LogTimes&) const = default;

  LogTimes& operator+=(const LogTimes& other);
};

/// Log times of the old version in one stratum: a route, length class and load
/// level.
class LatencyReference {
 public:
  /// Adds one interval; `decay` as in FaultTest::Add.
  void Add(const LogTimes& baseline, double decay);

  /// Whether there are enough samples for a comparison.
  bool IsUsable() const;

  /// Greater of the long-term and the recent mean.
  double Mean() const;

  /// Long-term variance with a lower bound.
  double Variance() const;

 private:
  LogTimes total_;
  double recent_n_ = 0;
  double recent_sum_ = 0;
};

/// Sequential test that compares the times of two versions on the log scale.
/// Takes samples of one or several strata, each with its own reference.
class LatencyTest {
 public:
  /// @param max_ratio ratio to the old version's time that makes the new
  ///   version bad, above 1
  explicit LatencyTest(double max_ratio);

  /// Adds the current time as a possible start of a slowdown.
  void AddStartPoint() { mixture_.AddStartPoint(); }

  /// Adds one interval of one stratum; ignored until `baseline` is usable.
  void Add(const LogTimes& canary, const LatencyReference& baseline);

  /// Log e-value for the null hypothesis "slower by half of the bound at most"
  /// on the log scale.
  double LogEValue() const { return mixture_.LogValue(); }

  /// Log likelihood ratio of "as fast" to "slower by max_ratio"; bounded above.
  double LogGoodRatio() const { return log_good_ratio_; }

 private:
  double log_bound_;
  ChangeMixture mixture_;
  double log_good_ratio_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_LATENCY_TEST_H_
