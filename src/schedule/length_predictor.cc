#include "src/schedule/length_predictor.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

/// Weight of one sample once enough have been seen.
constexpr double kLeastGain = 0.02;
/// Greatest step of a quantile per sample, as a factor's logarithm.
constexpr double kFirstStep = 1.0;
/// First guess of the 97th percentile over the median.
constexpr double kFirstSpread = 2;

double Stepped(double value, double sample, double quantile, double step) {
  const double direction = sample > value ? quantile : quantile - 1;
  return std::max(1.0, value * std::exp(step * direction));
}

}  // namespace

void LengthPredictor::OnDone(const Route& route, std::uint32_t parts) {
  const double length = std::max(1.0, static_cast<double>(parts));
  Learn(&by_model_[route.model], length);
  if (by_route_.size() < kMaxRoutes || by_route_.contains(route.hash)) {
    Learn(&by_route_[route.hash], length);
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

void LengthPredictor::Learn(LengthEstimate* estimate, double parts) {
  if (estimate->samples == 0) {
    *estimate = LengthEstimate{parts, parts, parts * kFirstSpread, 0};
  } else {
    const double gain = std::max(kLeastGain, 1.0 / (estimate->samples + 1));
    estimate->mean += gain * (parts - estimate->mean);
    const double step =
        2 * std::max(kLeastGain, kFirstStep / estimate->samples);
    estimate->median = Stepped(estimate->median, parts, 0.5, step);
    estimate->p97 = Stepped(estimate->p97, parts, 0.97, step);
  }
  ++estimate->samples;
}

}  // namespace hornbeamcleat
