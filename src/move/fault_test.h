#ifndef HORNBEAMCLEAT_SRC_MOVE_FAULT_TEST_H_
#define HORNBEAMCLEAT_SRC_MOVE_FAULT_TEST_H_

#include <cstdint>

#include "src/move/change_mixture.h"

namespace hornbeamcleat {

/// Requests of one interval that ended, and how many of them failed.
struct FaultCount {
  std::uint64_t ends = 0;
  std::uint64_t faults = 0;

  bool operator==(const FaultCount&) const = default;
};

/// Sequential comparison of the fault ratios of two versions side by side. The
/// old version's ratio is the greater of its long-term and its recent one, so
/// that a fault shared by both versions counts against neither.
class FaultTest {
 public:
  /// @param max_excess fault ratio above the old version's that makes the new
  ///   version bad
  explicit FaultTest(double max_excess);

  /// Lets a fault begin now.
  void AddStartPoint() { mixture_.AddStartPoint(); }

  /// Adds one interval.
  /// @param decay factor in 0..1 for what counted as recent before
  void Add(const FaultCount& fresh, const FaultCount& old, double decay);

  /// Logarithm of the e-value against "no worse than the old version".
  double LogBad() const { return mixture_.LogValue(); }

  /// Logarithm of the likelihood ratio of "as the old version" to "worse by
  /// max_excess"; bounded above, so that late faults bring it down again.
  double LogGood() const { return log_good_; }

  /// Whether the excess seen, over all or of late, is half of max_excess.
  bool ExcessSeen() const;

  /// Requests of the new version that ended.
  std::uint64_t Ends() const { return fresh_.ends; }

 private:
  struct Recent {
    double ends = 0;
    double faults = 0;
  };

  static void AddRecent(const FaultCount& count, double decay, Recent* recent);
  double OldRatio() const;

  double max_excess_;
  FaultCount fresh_;
  FaultCount old_;
  Recent recent_fresh_;
  Recent recent_old_;
  ChangeMixture mixture_;
  double log_good_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_FAULT_TEST_H_
