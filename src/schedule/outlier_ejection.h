#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_OUTLIER_EJECTION_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_OUTLIER_EJECTION_H_

#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

struct TargetState;

/// Recent faults of a target at this entry.
struct TargetHealth {
  double fault_ratio = 0;  ///< moving average over answers
  int faults_in_a_row = 0;
  bool ejected = false;
  int ejections = 0;  ///< in a row; sets the time until the next try
  Time until;         ///< end of the ejection

  bool operator==(const TargetHealth&) const = default;
};

/// Takes targets out of a pool that fail more often than their peers, for a
/// time that doubles with each ejection. At most a third of a pool is out at a
/// time, and never its last target, so that a fault of the requests or of this
/// entry can't empty the pool. A target comes back with the least limit.
class OutlierEjection {
 public:
  using Pool = std::vector<TargetState*>;

  /// A request ended whole on the target.
  void OnSuccess(TargetState* target);

  /// A request failed on the target, or the target was lost with it.
  /// @return whether the target was ejected
  bool OnFault(TargetState* target, const Pool& pool, Time now);

  /// Takes back the targets whose time is over.
  /// @return the targets taken back, whose limit has changed
  Pool Tick(const Pool& pool, Time now);

 private:
  static bool MayEject(const Pool& pool);
  static double MeanFaultRatio(const Pool& pool, const TargetState* except);
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_OUTLIER_EJECTION_H_
