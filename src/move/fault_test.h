#ifndef HORNBEAMCLEAT_SRC_MOVE_FAULT_TEST_H_
#define HORNBEAMCLEAT_SRC_MOVE_FAULT_TEST_H_

#include <cstdint>

#include "src/move/change_mixture.h"

namespace hornbeamcleat {

/// Requests that ended in one interval, and the faults among them.
struct FaultCount {
  std::uint64_t requests = 0;
  std::uint64_t faults = 0;

  bool operator==(const FaultCount&) const = default;
};

/// Sequential test that compares the fault ratios of two versions running side
/// by side. The old version's ratio is the greater of its long-term and recent
/// ratios, so that a fault common to both versions is not attributed to the new
/// one.
class FaultTest {
 public:
  /// @param max_excess fault ratio above the old version's that makes the new
  ///   version bad
  explicit FaultTest(double max_excess);

  /// Adds the current time as a possible start of a fault.
  void AddStartPoint() { mixture_.AddStartPoint(); }

  /// Adds one interval.
  /// @param decay factor in 0..1 applied to the recent counts before adding
  void Add(const FaultCount& canary, const FaultCount& baseline, double decay);

  /// Log e-value for the null hypothesis "no worse than the old version".
  double LogEValue() const { return mixture_.LogValue(); }

  /// Log likelihood ratio of "as good as the old version" to "worse by
  /// max_excess"; bounded above, so that late faults can lower it.
  double LogGoodRatio() const { return log_good_ratio_; }

  /// Whether the observed excess, overall or recent, is at least half of
  /// max_excess.
  bool ExcessSeen() const;

  /// Number of requests of the new version that ended.
  std::uint64_t Requests() const { return canary_.requests; }

 private:
  struct Recent {
    double requests = 0;
    double faults = 0;
  };

  static void AddRecentCounts(const FaultCount& count, double decay,
                              Recent* recent);
  double BaselineRatio() const;

  double max_excess_;
  FaultCount canary_;
  FaultCount baseline_;
  Recent recent_canary_;
  Recent recent_baseline_;
  ChangeMixture mixture_;
  double log_good_ratio_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_FAULT_TEST_H_
