#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_LATENCY_LIMIT_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_LATENCY_LIMIT_H_

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Number of requests that a target may hold for all entries together, learned
/// from latency: grows additively while parts and first parts come within
/// their target times and the limit is in use, and shrinks in proportion when
/// they don't. Each entry learns alone from the same target, so a wrong view of
/// the other entries is corrected by what it measures.
class LatencyLimit {
 public:
  static constexpr double kFirst = 8;
  static constexpr double kLeast = 1;
  static constexpr double kGreatest = 128;

  LatencyLimit(Duration first_part_target, Duration gap_target)
      : first_part_target_(ToSeconds(first_part_target)),
        gap_target_(ToSeconds(gap_target)) {}

  /// Parts flowed at `gap_seconds` between them.
  void OnGap(double gap_seconds, double parts);

  /// A request's first part came `seconds` after its dispatch.
  void OnFirstPart(double seconds);

  /// The target refused work as busy, or lost its connection.
  void OnPushBack() { pushed_back_ = true; }

  /// Closes the period of measurement once it is long enough.
  /// @param in_use whether this entry's credits were all in use
  /// @return whether the limit changed
  bool Update(bool in_use, Time now);

  /// Starts again from the least limit, for a target that came back.
  void SlowStart();

  double Limit() const { return limit_; }

  /// Least average gap and first-part time seen in a period, in seconds; 0 if
  /// none was.
  double LeastGap() const { return least_gap_; }
  double LeastFirstPart() const { return least_first_part_; }

 private:
  double Overload();

  const double first_part_target_;
  const double gap_target_;
  /// Best averages of a period; the targets are not held to less than these
  /// with some room, since long prompts and plain services take their time.
  double least_first_part_ = 0;
  double least_gap_ = 0;
  double limit_ = kFirst;
  double gap_seconds_ = 0;
  double gap_parts_ = 0;
  double first_part_seconds_ = 0;
  int first_parts_ = 0;
  bool was_in_use_ = false;
  bool pushed_back_ = false;
  Time period_start_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_LATENCY_LIMIT_H_
