#ifndef HORNBEAMCLEAT_SRC_MOVE_REJECTION_TEST_H_
#define HORNBEAMCLEAT_SRC_MOVE_REJECTION_TEST_H_

#include <array>
#include <cstddef>

#include "src/move/change_mixture.h"

namespace hornbeamcleat {

/// Sequential test of whether the new one of two versions rejects requests that
/// the old one wouldn't. Callers earn rejections too, in bursts and on some
/// routes, so ratios of the versions are not compared. Which version gets a
/// request is random with a known probability. If both reject the same ones, a
/// rejection is the new version's with just that probability, whatever the
/// request and its caller are.
class RejectionTest {
 public:
  static constexpr std::size_t kAlternatives = 3;
  /// Log likelihood ratios, or sums of them, by alternative.
  using LogRatios = std::array<float, kAlternatives>;

  /// Returns the log likelihood ratios of one rejection.
  /// @param is_new whether the new version rejected the request
  /// @param share probability with which the request went to that version
  static LogRatios RatiosOf(bool is_new, double share);

  RejectionTest() : mixture_(kAlternatives) {}

  /// Adds the current time as a possible start of a fault.
  void AddStartPoint() { mixture_.AddStartPoint(); }

  /// Sets the sums over all rejections so far.
  void Update(const LogRatios& sums);

  /// Log e-value for the null hypothesis "rejects the same requests".
  double LogEValue() const { return mixture_.LogValue(); }

 private:
  LogRatios sums_{};
  ChangeMixture mixture_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_REJECTION_TEST_H_
