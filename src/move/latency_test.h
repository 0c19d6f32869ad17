#ifndef HORNBEAMCLEAT_SRC_MOVE_LATENCY_TEST_H_
#define HORNBEAMCLEAT_SRC_MOVE_LATENCY_TEST_H_

#include <cstdint>

#include "src/move/change_mixture.h"

namespace hornbeamcleat {

/// Sums over the natural logarithms of times in seconds.
struct LogTimes {
  std::uint64_t n = 0;
  double sum = 0;
  double square_sum = 0;

  bool operator==(const LogTimes&) const = default;

  LogTimes& operator+=(const LogTimes& other);
};

/// The old version's log times in one stratum (route, length, load).
class LatencyReference {
 public:
  /// Adds one interval; `decay` as in FaultTest::Add.
  void Add(const LogTimes& old, double decay);

  /// Whether there is enough to compare with.
  bool Usable() const;

  /// The greater of the long-term and the recent mean.
  double Mean() const;

  /// Variance, not below a floor.
  double Variance() const;

 private:
  LogTimes total_;
  double recent_n_ = 0;
  double recent_sum_ = 0;
};

/// Sequential comparison of the times of two versions on the log scale, fed
/// from one or several strata, each against its own reference.
class LatencyTest {
 public:
  /// @param max_ratio ratio to the old version's time that makes the new
  ///   version bad, above 1
  explicit LatencyTest(double max_ratio);

  /// Lets a slowdown begin now.
  void AddStartPoint() { mixture_.AddStartPoint(); }

  /// Adds one interval of one stratum; ignored while `old` is not usable.
  void Add(const LogTimes& fresh, const LatencyReference& old);

  /// Logarithm of the e-value against "no slower than half of the bound".
  double LogBad() const { return mixture_.LogValue(); }

  /// Logarithm of the likelihood ratio of "as fast" to "slower by max_ratio";
  /// bounded above.
  double LogGood() const { return log_good_; }

 private:
  double log_bound_;
  ChangeMixture mixture_;
  double log_good_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_LATENCY_TEST_H_
