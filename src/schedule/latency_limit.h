#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_LATENCY_LIMIT_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_LATENCY_LIMIT_H_

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Adaptive concurrency limit of a target, over all entries together. Increases
/// while the gaps between parts and the first-part times meet their targets and
/// the limit is in use; decreases multiplicatively when they don't. Each entry
/// adjusts its own copy from the same target's latency, so a wrong count of the
/// other entries is corrected by measurement.
class LatencyLimit {
 public:
  static constexpr double kInitialLimit = 8;
  static constexpr double kMinLimit = 1;
  static constexpr double kMaxLimit = 128;

  LatencyLimit(Duration first_part_target, Duration gap_target)
      : first_part_target_(ToSeconds(first_part_target)),
        gap_target_(ToSeconds(gap_target)) {}

  /// Records parts that arrived `gap_seconds` apart.
  void OnGap(double gap_seconds, double parts);

  /// Records a first part that arrived `seconds` after dispatch.
  void OnFirstPart(double seconds);

  /// Records that the target rejected work as busy.
  void OnRejected() { rejected_ = true; }

  /// Ends the measurement period once it is long enough and adjusts the limit.
  /// @param in_use whether all of this entry's credits were in use
  /// @return whether the limit changed
  bool Update(bool in_use, Time now);

  /// Resets to the minimum limit, for a target that returns to the pool.
  void SlowStart();

  double Limit() const { return limit_; }

  /// Minimum over all periods of the average gap and of the average first-part
  /// time, in seconds; 0 if none was measured.
  double MinGap() const { return min_gap_; }
  double MinFirstPart() const { return min_first_part_; }

 private:
  double Overload();

  const double first_part_target_;
  const double gap_target_;
  /// Minimum averages over all periods. Latency targets are at least these
  /// times a tolerance, since long prompts and plain services are slower by
  /// nature.
  double min_first_part_ = 0;
  double min_gap_ = 0;
  double limit_ = kInitialLimit;
  double gap_seconds_ = 0;
  double gap_parts_ = 0;
  double first_part_seconds_ = 0;
  int first_parts_ = 0;
  bool was_in_use_ = false;
  bool rejected_ = false;
  Time period_start_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_LATENCY_LIMIT_H_
