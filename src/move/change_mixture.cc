#include "src/move/change_mixture.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

double LogAdd(double a, double b) {
  const double high = std::max(a, b);
  return high + std::log1p(std::exp(std::min(a, b) - high));
}

}  // namespace

ChangeMixture::ChangeMixture(std::size_t alternatives)
    : log_sums_(alternatives, std::log(0.5)) {}

void ChangeMixture::AddStartPoint() {
  if (start_points_ == kMaxStartPoints) {
    return;
  }
  ++start_points_;
  const double weight = std::log(0.5 / kMaxStartPoints);
  for (double& sum : log_sums_) {
    sum = LogAdd(sum, weight);
  }
}

void ChangeMixture::Add(const std::vector<double>& log_ratios) {
  for (std::size_t n = 0; n < log_sums_.size(); ++n) {
    log_sums_[n] += log_ratios[n];
  }
}

double ChangeMixture::LogValue() const {
  // Start points that have not been added yet contribute a ratio of 1.
  double total =
      std::log(0.5 * (kMaxStartPoints - start_points_ + 1) / kMaxStartPoints);
  const double weight = std::log(static_cast<double>(log_sums_.size()));
  for (const double sum : log_sums_) {
    total = LogAdd(total, sum - weight);
  }
  return total;
}

}  // namespace hornbeamcleat
