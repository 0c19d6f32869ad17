#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_LENGTH_PREDICTOR_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_LENGTH_PREDICTOR_H_

#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "src/schedule/route.h"

namespace hornbeamcleat {

/// Expected answer length, in parts.
struct LengthEstimate {
  double mean = 100;
  double median = 100;
  double p97 = 300;  ///< 97th percentile
  int samples = 0;   ///< of this route only

  /// Geometric mean of the median and the 97th percentile. Most answers are no
  /// longer than this, and it is cheaper than to plan for the longest ones.
  double Likely() const { return std::sqrt(median * p97); }

  bool operator==(const LengthEstimate&) const = default;
};

/// Estimates answer lengths by workspace and application: the mean as a moving
/// average, the quantiles by stochastic approximation on a logarithmic scale,
/// with three numbers each. A pair without samples uses the estimate of its
/// model. The number of pairs is bounded; further pairs use their model's
/// estimate.
class LengthPredictor {
 public:
  static constexpr std::size_t kMaxRoutes = 16'384;

  /// Adds a sample: an answer on the route had `parts` parts.
  void OnDone(const Route& route, std::uint32_t parts);

  /// @param max_parts limit set by the caller; 0 if unspecified
  LengthEstimate Predict(const Route& route, std::uint32_t max_parts) const;

  /// Returns the estimate over all routes of a model.
  LengthEstimate PredictModel(const std::string& model) const;

 private:
  static void Update(LengthEstimate* estimate, double parts);

  std::unordered_map<std::uint64_t, LengthEstimate> by_route_;
  std::map<std::string, LengthEstimate> by_model_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_LENGTH_PREDICTOR_H_
