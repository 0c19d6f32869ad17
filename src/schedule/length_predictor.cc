#include "src/schedule/length_predictor.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

/// Minimum weight of a sample, reached after enough samples.
constexpr double kMinGain = 0.02;
/// Step of a quantile per sample, as the logarithm of a factor, before division
/// by the number of samples.
constexpr double kInitialStep = 1.0;
/// Initial ratio of the 97th percentile to the median.
constexpr double kInitialP97Ratio = 2;

double StepQuantile(double value, double sample, double quantile, double step) {
  const double direction = sample > value ? quantile : quantile - 1;
  return std::max(1.0, value * std::exp(step * direction));
}

}  // namespace

void LengthPredictor::OnDone(const Route& route, std::uint32_t parts) {
  const double length = std::max(1.0, static_cast<double>(parts));
  Update(&by_model_[route.model], length);
  if (by_route_.size() < kMaxRoutes || by_route_.contains(route.hash)) {
    Update(&by_route_[route.hash], length);
  }
}

LengthEstimate LengthPredictor::Predict(const Route& route,
                                        std::uint32_t max_parts) const {
  const auto found_route = by_route_.find(route.hash);
  LengthEstimate found;
  if (found_route != by_route_.end()) {
    found = found_route->second;
  } else {
    found = PredictModel(route.model);
    found.samples = 0;
  }
  if (max_parts > 0) {
    const double cap = max_parts;
    found.mean = std::min(found.mean, cap);
    found.median = std::min(found.median, cap);
    found.p97 = std::min(found.p97, cap);
  }
  return found;
}

LengthEstimate LengthPredictor::PredictModel(const std::string& model) const {
  const auto it = by_model_.find(model);
  return it == by_model_.end() ? LengthEstimate{} : it->second;
}

void LengthPredictor::Update(LengthEstimate* estimate, double parts) {
  if (estimate->samples == 0) {
    *estimate = LengthEstimate{parts, parts, parts * kInitialP97Ratio, 0};
  } else {
    const double gain = std::max(kMinGain, 1.0 / (estimate->samples + 1));
    estimate->mean += gain * (parts - estimate->mean);
    const double step =
        2 * std::max(kMinGain, kInitialStep / estimate->samples);
    estimate->median = StepQuantile(estimate->median, parts, 0.5, step);
    estimate->p97 = StepQuantile(estimate->p97, parts, 0.97, step);
  }
  ++estimate->samples;
}

}  // namespace hornbeamcleat
