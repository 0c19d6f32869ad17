#include "src/schedule/demand_meter.h"

#include <cmath>
#include <limits>

namespace hornbeamcleat {

void DemandMeter::Add(int rank, double seconds, Time now) {
  Sum& sum = by_rank_[rank];
  sum.seconds = RateOf(sum, now) * time_constant_ + seconds;
  sum.updated = now;
}

double DemandMeter::RateBelow(int rank, Time now) const {
  double rate = 0;
  for (const auto& [key, sum] : by_rank_) {
    if (key < rank) {
      rate += RateOf(sum, now);
    }
  }
  return rate;
}

double DemandMeter::Rate(Time now) const {
  return RateBelow(std::numeric_limits<int>::max(), now);
}

double DemandMeter::RateOf(const Sum& sum, Time now) const {
  const double age = ToSeconds(now - sum.updated);
  return sum.seconds / time_constant_ * std::exp(-age / time_constant_);
}

}  // namespace hornbeamcleat
