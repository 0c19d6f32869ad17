#include "src/schedule/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

/// Number of parts after which the weight of an old gap has fallen to 1/e.
constexpr double kGapDecayParts = 100;
constexpr double kFirstPartGain = 0.1;

}  // namespace

void SpeedEstimate::OnGap(double gap_seconds, double parts, Time now) {
  const double gain = samples_ == 0 ? 1 : 1 - std::exp(-parts / kGapDecayParts);
  gap_ += gain * (gap_seconds - gap_);
  ++samples_;
  updated_ = now;
}

void SpeedEstimate::OnFirstPart(double seconds, Time now) {
  const double gain = first_parts_ == 0 ? 1 : kFirstPartGain;
  first_part_ += gain * (seconds - first_part_);
  ++first_parts_;
  updated_ = now;
}

}  // namespace hornbeamcleat
