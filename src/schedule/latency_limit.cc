#include "src/schedule/latency_limit.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(1);
/// Parts or first parts that a period needs to count.
constexpr double kLeastParts = 8;
/// Latency under this part of its target lets the limit grow.
constexpr double kRoom = 0.93;
constexpr double kGrowth = 0.5;
constexpr double kGrowthRatio = 0.05;
/// Latency under this part of its target lets the limit grow faster, so that a
/// new target is not kept idle for a minute.
constexpr double kMuchRoom = 0.5;
constexpr double kFastGrowthRatio = 0.3;
/// Part of the target time that the average keeps to, so that most requests
/// keep to the whole.
constexpr double kAim = 0.9;
/// Latency over its least that is always allowed.
constexpr double kGapRoom = 1.5;
constexpr double kFirstPartRoom = 2.5;
/// Least factor by which one period shrinks the limit, when latency is somewhat
/// above its target and when it is far above it.
constexpr double kGentleShrink = 0.93;
constexpr double kShrink = 0.7;
constexpr double kFarAbove = 1.5;
/// A target that refuses work counts as this far above its target time.
constexpr double kPushBackOverload = 1.4;

}  // namespace

void LatencyLimit::OnGap(double gap_seconds, double parts) {
  gap_seconds_ += gap_seconds * parts;
  gap_parts_ += parts;
}

void LatencyLimit::OnFirstPart(double seconds) {
  first_part_seconds_ += seconds;
  ++first_parts_;
}

bool LatencyLimit::Update(bool in_use, Time now) {
  was_in_use_ = was_in_use_ || in_use;
  const bool enough = gap_parts_ >= kLeastParts || first_parts_ > 0;
  if (now < period_start_ + kPeriod || (!enough && !pushed_back_)) {
    return false;
  }
  const double before = limit_;
  const double overload = pushed_back_ ? kPushBackOverload : Overload();
  if (overload > 1) {
    const bool far_above = overload > kFarAbove;
    limit_ *= std::max(far_above ? kShrink : kGentleShrink, 1 / overload);
  } else if (overload < kRoom && was_in_use_) {
    const double ratio = overload < kMuchRoom ? kFastGrowthRatio : kGrowthRatio;
    limit_ += std::max(kGrowth, ratio * limit_);
  }
  limit_ = std::clamp(limit_, kLeast, kGreatest);
  gap_seconds_ = gap_parts_ = first_part_seconds_ = 0;
  first_parts_ = 0;
  was_in_use_ = pushed_back_ = false;
  period_start_ = now;
  return limit_ != before;
}

void LatencyLimit::SlowStart() { limit_ = kLeast; }

double LatencyLimit::Overload() {
  double overload = 0;
  if (gap_parts_ >= kLeastParts) {
    const double gap = gap_seconds_ / gap_parts_;
    least_gap_ = least_gap_ == 0 ? gap : std::min(least_gap_, gap);
    overload = gap / std::max(kAim * gap_target_, kGapRoom * least_gap_);
  }
  if (first_parts_ > 0) {
    const double first = first_part_seconds_ / first_parts_;
    least_first_part_ =
        least_first_part_ == 0 ? first : std::min(least_first_part_, first);
    const double target =
        std::max(kAim * first_part_target_, kFirstPartRoom * least_first_part_);
    overload = std::max(overload, first / target);
  }
  return overload;
}

}  // namespace hornbeamcleat
