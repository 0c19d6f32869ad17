#include "src/serving/caller_patience.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// Quantile of the waiting times that counts as usual.
constexpr double kQuantile = 0.9;
/// Relative step of the estimate for one request.
constexpr double kGain = 0.02;
/// Requests of a route before which every caller counts as new.
constexpr int kMinSamples = 16;
/// Callers with less than this fraction of the usual time are retrying. First
/// attempts of one route differ by up to 15% in the time that they wait.
constexpr double kRetryShare = 0.8;

/// Longer times count as this one, so that products stay in range.
constexpr Duration kMaxTimeLeft = std::chrono::hours(24);

/// Callers with less than this fraction have other times than the rest. A retry
/// comes at most a third of the caller's time after its first attempt.
constexpr double kMinRetryShare = 0.5;

Duration Scale(Duration d, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(d.count()) * factor));
}

}  // namespace

Duration CallerPatience::WaitedBefore(const std::string& route,
                                      Duration time_left) {
  time_left = std::clamp(time_left, Duration(0), kMaxTimeLeft);
  if (routes_.size() >= kMaxRoutes && !routes_.contains(route)) {
    routes_.clear();
  }
  Estimate& estimate = routes_[route];
  if (estimate.samples++ == 0) {
    estimate.usual = time_left;
    return Duration(0);
  }
  const double gain = std::max(kGain, 1.0 / estimate.samples);
  const double step = time_left > estimate.usual ? kQuantile : kQuantile - 1;
  estimate.usual = Scale(estimate.usual, 1 + gain * step);
  return estimate.samples > kMinSamples &&
                 time_left < Scale(estimate.usual, kRetryShare) &&
                 time_left >= Scale(estimate.usual, kMinRetryShare)
             ? estimate.usual - time_left
             : Duration(0);
}

}  // namespace hornbeamcleat
