#include "src/schedule/demand_meter.h"

#include <cmath>
#include <limits>

namespace hornbeamcleat {
namespace {

constexpr double kMemorySeconds = 5;

}  // namespace

void DemandMeter::Add(int rank, double seconds, Time now) {
  Sum& sum = by_rank_[rank];
  sum.seconds = RateOf(sum, now) * kMemorySeconds + seconds;
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

double DemandMeter::RateOf(const Sum& sum, Time now) {
  const double age = ToSeconds(now - sum.updated);
  return sum.seconds / kMemorySeconds * std::exp(-age / kMemorySeconds);
}

}  // namespace hornbeamcleat
