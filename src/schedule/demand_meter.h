#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_

#include <map>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Exponentially decaying average of the offered work by rank, in
/// target-seconds per second.
class DemandMeter {
 public:
  /// @param time_constant seconds after which the weight of old work has fallen
  /// to 1/e
  explicit DemandMeter(double time_constant) : time_constant_(time_constant) {}

  void Add(int rank, double seconds, Time now);

  /// Rate of the work of ranks below `rank`.
  double RateBelow(int rank, Time now) const;

  /// Rate of all work.
  double Rate(Time now) const;

 private:
  struct Sum {
    double seconds = 0;
    Time updated;
  };

  double RateOf(const Sum& sum, Time now) const;

  double time_constant_;
  std::map<int, Sum> by_rank_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_DEMAND_METER_H_
