#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_

#include <map>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Work offered by rank, in target-seconds per second, as an average that
/// forgets exponentially.
class DemandMeter {
 public:
  /// @param memory_seconds time over which old work loses most of its weight
  explicit DemandMeter(double memory_seconds)
      : memory_seconds_(memory_seconds) {}

  void Add(int rank, double seconds, Time now);

  /// Rate of work of ranks below `rank`.
  double RateBelow(int rank, Time now) const;

  /// Rate of all work.
  double Rate(Time now) const;

 private:
  struct Sum {
    double seconds = 0;
    Time updated;
  };

  double RateOf(const Sum& sum, Time now) const;

  double memory_seconds_;
  std::map<int, Sum> by_rank_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_
