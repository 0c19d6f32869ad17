#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_

#include <map>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Work offered by rank, in target-seconds per second, as an average that
/// forgets exponentially.
class DemandMeter {
 public:
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

  static double RateOf(const Sum& sum, Time now);

  std::map<int, Sum> by_rank_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_
