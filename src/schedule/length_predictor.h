#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_LENGTH_PREDICTOR_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_LENGTH_PREDICTOR_H_

#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "src/schedule/route.h"

namespace hornbeamcleat {

/// Expected length of an answer, in parts.
struct LengthEstimate {
  double mean = 100;
  double median = 100;
  double p97 = 300;  ///< 97th percentile
  int samples = 0;   ///< of this very route

  /// Length between the median and the 97th percentile that most answers keep
  /// to, without the cost of planning for the longest.
  double Likely() const { return std::sqrt(median * p97); }

  bool operator==(const LengthEstimate&) const = default;
};

/// Learns the lengths of answers by workspace and application: the mean as a
/// moving average, the quantiles by stochastic approximation on a logarithmic
/// scale, three numbers each. A pair not seen before takes its model's
/// estimate. Bounded in number; further pairs share their model's.
class LengthPredictor {
 public:
  static constexpr std::size_t kMaxRoutes = 16'384;

  /// Learns that an answer on the route had `parts` parts.
  void OnDone(const Route& route, std::uint32_t parts);

  /// @param max_parts the caller's limit; 0 if not stated
  LengthEstimate Predict(const Route& route, std::uint32_t max_parts) const;

  /// Estimate over all routes of a model.
  LengthEstimate PredictModel(const std::string& model) const;

 private:
  static void Learn(LengthEstimate* estimate, double parts);

  std::unordered_map<std::uint64_t, LengthEstimate> by_route_;
  std::map<std::string, LengthEstimate> by_model_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_LENGTH_PREDICTOR_H_
