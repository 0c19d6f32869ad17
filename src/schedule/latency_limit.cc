#include "src/schedule/latency_limit.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(1);
/// Minimum number of parts in a period for its gap to count.
constexpr double kMinParts = 8;
/// The limit grows while latency is below this share of its target.
constexpr double kGrowthThreshold = 0.93;
constexpr double kMinGrowth = 0.5;
constexpr double kGrowthRatio = 0.05;
/// The limit grows faster while latency is below this share of its target, so
/// that a new target does not stay underused for a minute.
constexpr double kFastGrowthThreshold = 0.5;
constexpr double kFastGrowthRatio = 0.3;
/// Share of the target time that the average is controlled to, so that most
/// requests meet the full target.
constexpr double kTargetMargin = 0.9;
/// Multiples of the minimum latency that are always tolerated.
constexpr double kMinGapTolerance = 1.5;
constexpr double kMinFirstPartTolerance = 2.5;
/// Smallest factor applied to the limit in one period, for mild and for severe
/// overload.
constexpr double kMildShrinkFactor = 0.93;
constexpr double kSevereShrinkFactor = 0.7;
constexpr double kSevereOverload = 1.5;
/// Overload assumed for a target that rejects work, as latency over its target.
constexpr double kRejectionOverload = 1.4;

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
  const bool enough = gap_parts_ >= kMinParts || first_parts_ > 0;
  if (now < period_start_ + kPeriod || (!enough && !rejected_)) {
    return false;
  }
  const double before = limit_;
  const double overload = rejected_ ? kRejectionOverload : Overload();
  if (overload > 1) {
    const bool severe = overload > kSevereOverload;
    limit_ *= std::max(severe ? kSevereShrinkFactor : kMildShrinkFactor,
                       1 / overload);
  } else if (overload < kGrowthThreshold && was_in_use_) {
    const double ratio =
        overload < kFastGrowthThreshold ? kFastGrowthRatio : kGrowthRatio;
    limit_ += std::max(kMinGrowth, ratio * limit_);
  }
  limit_ = std::clamp(limit_, kMinLimit, kMaxLimit);
  gap_seconds_ = gap_parts_ = first_part_seconds_ = 0;
  first_parts_ = 0;
  was_in_use_ = rejected_ = false;
  period_start_ = now;
  return limit_ != before;
}

void LatencyLimit::SlowStart() { limit_ = kMinLimit; }

double LatencyLimit::Overload() {
  double overload = 0;
  if (gap_parts_ >= kMinParts) {
    const double gap = gap_seconds_ / gap_parts_;
    min_gap_ = min_gap_ == 0 ? gap : std::min(min_gap_, gap);
    overload = gap / std::max(kTargetMargin * gap_target_,
                              kMinGapTolerance * min_gap_);
  }
  if (first_parts_ > 0) {
    const double first = first_part_seconds_ / first_parts_;
    min_first_part_ =
        min_first_part_ == 0 ? first : std::min(min_first_part_, first);
    const double target = std::max(kTargetMargin * first_part_target_,
                                   kMinFirstPartTolerance * min_first_part_);
    overload = std::max(overload, first / target);
  }
  return overload;
}

}  // namespace hornbeamcleat
