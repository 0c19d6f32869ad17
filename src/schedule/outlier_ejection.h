#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_OUTLIER_EJECTION_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_OUTLIER_EJECTION_H_

#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

struct TargetState;

/// Recent faults of a target at this entry.
struct TargetHealth {
  double fault_ratio = 0;  ///< moving average over answers
  int consecutive_faults = 0;
  bool ejected = false;
  int ejections = 0;  ///< consecutive; determines the length of the next one
  Time ejected_until;

  bool operator==(const TargetHealth&) const = default;
};

/// Ejects targets that fail more often than their peers from the pool, for a
/// time that doubles with each consecutive ejection. At most a third of a pool
/// is ejected at a time, but always at least one target may be, and never the
/// last open one, so that faults caused by requests or by this entry can't
/// empty the pool. A target returns with the minimum concurrency limit.
class OutlierEjection {
 public:
  using Pool = std::vector<TargetState*>;

  /// Records a request that completed on the target.
  void OnSuccess(TargetState* target);

  /// Records a request that failed on the target or that was lost with it.
  /// @return whether the target was ejected
  bool OnFault(TargetState* target, const Pool& pool, Time now);

  /// Restores the targets whose ejection is over.
  /// @return the restored targets, whose limit has changed
  Pool Tick(const Pool& pool, Time now);

 private:
  static bool MayEject(const Pool& pool);
  static double MeanFaultRatio(const Pool& pool, const TargetState* except);
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_OUTLIER_EJECTION_H_
