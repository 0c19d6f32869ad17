#include "src/move/rejection_test.h"

#include <cmath>
#include <vector>

namespace hornbeamcleat {
namespace {

// Alternatives: ratios of the new version's odds to reject to the old one's.
constexpr std::array<double, RejectionTest::kAlternatives> kOddsFactors = {
    4, 16, 64};

}  // namespace

RejectionTest::LogRatios RejectionTest::RatiosOf(bool is_new, double share) {
  LogRatios ratios{};
  // One version gets all requests, so that nothing follows from which it was.
  if (share <= 0 || share >= 1) {
    return ratios;
  }
  for (std::size_t n = 0; n < kAlternatives; ++n) {
    const double factor = is_new ? kOddsFactors[n] : 1;
    ratios[n] = static_cast<float>(
        std::log(factor / (kOddsFactors[n] * share + 1 - share)));
  }
  return ratios;
}

void RejectionTest::Update(const LogRatios& sums) {
  std::vector<double> increase;
  for (std::size_t n = 0; n < kAlternatives; ++n) {
    increase.push_back(static_cast<double>(sums[n]) -
                       static_cast<double>(sums_[n]));
  }
  sums_ = sums;
  mixture_.Add(increase);
}

}  // namespace hornbeamcleat
