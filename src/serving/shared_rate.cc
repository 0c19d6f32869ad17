#include "src/serving/shared_rate.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

/// A request may come early by this fraction (1/N) of the interval, which makes
/// up for others that came late.
constexpr int kEarlyDivisor = 2;
/// Keeps whole rates whole.
constexpr double kRounding = 1e-6;

Duration Scale(Duration d, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(d.count()) * factor));
}

}  // namespace

double WholePartOf(double total, double min_part, const VmShare& share) {
  const double overall = std::max(1, share.overall);
  const double mean = total / overall;
  if (mean >= min_part) {
    return std::max(mean, min_part);
  }
  const double whole = std::floor(total);
  const double least = std::floor(whole / overall);
  return least + (share.overall_rank < whole - least * overall ? 1 : 0);
}

void SharedRate::SetTotal(double per_second, Time now) {
  total_ = std::max(per_second, kMinPerSecond);
  Update(now);
}

void SharedRate::SetShare(const VmShare& share, Time now) {
  share_ = share;
  Update(now);
}

// A VM that gains a turn begins with an empty bucket, and at another point of
// the interval than others that gain theirs in the same instant.
void SharedRate::Update(Time now) {
  const double heard = static_cast<double>(share_.heard) /
                       std::max({1, share_.registered, share_.heard});
  const double group_rate = total_ * heard;
  const int turns = std::clamp(
      static_cast<int>(std::ceil(std::min(group_rate - kRounding, 1e6))), 1,
      std::max(1, share_.heard));
  const double per_second =
      share_.takes_part && share_.rank < turns ? group_rate / turns : 0;
  if (per_second == per_second_) {
    return;
  }
  if (per_second > 0 && per_second_ > 0) {
    if (next_ > now) {
      next_ = now + Scale(next_ - now, per_second_ / per_second);
    }
    per_second_ = per_second;
  } else {
    per_second_ = per_second;
    if (per_second > 0) {
      // VMs that don't hear each other have the same rank.
      const double phase = share_.heard < share_.registered
                               ? (share_.overall_rank + 1.0) / share_.overall
                               : (share_.rank + 1.0) / turns;
      next_ = std::max(
          next_, now + Scale(Interval(), phase) + Interval() / kEarlyDivisor);
    }
  }
}

Time SharedRate::OpensAt() const {
  return per_second_ > 0 ? next_ - Interval() / kEarlyDivisor : Time::max();
}

void SharedRate::OnSent(Time now) {
  if (per_second_ > 0) {
    next_ = std::max(next_, now) + Interval();
  }
}

}  // namespace hornbeamcleat
