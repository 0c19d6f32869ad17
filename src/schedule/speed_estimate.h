#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_SPEED_ESTIMATE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_SPEED_ESTIMATE_H_

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Moving averages of the speed of a target or hardware generation at its
/// current load, measured on this entry's own requests.
class SpeedEstimate {
 public:
  /// Records parts that arrived `gap_seconds` apart.
  void OnGap(double gap_seconds, double parts, Time now);

  /// Records a first part that arrived `seconds` after dispatch.
  void OnFirstPart(double seconds, Time now);

  bool Known() const { return samples_ > 0; }

  /// Seconds between parts.
  double Gap() const { return gap_; }

  /// Seconds from dispatch to the first part.
  double FirstPart() const { return first_part_; }

  /// Time of the last sample.
  Time Updated() const { return updated_; }

 private:
  double gap_ = 0.03;
  double first_part_ = 0.2;
  int samples_ = 0;
  int first_parts_ = 0;
  Time updated_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_SPEED_ESTIMATE_H_
