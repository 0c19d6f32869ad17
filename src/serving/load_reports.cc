#include "src/serving/load_reports.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

/// Bounds of a stated work time, those of the measured slowness.
constexpr double kMinWorkTime = 0.2;
constexpr double kMaxWorkTime = 12;
/// Bounds of the work time relative to the mean. A target that is mostly at its
/// usual speed is never much faster than its mean. Bounds what a false figure
/// adds to the learned slowness.
constexpr double kMinRelativeTime = 0.5;
constexpr double kMaxRelativeTime = 4;
/// Time for which the usual work time, 1, counts in the mean. A first figure
/// that is no plausible deviation from it takes its place.
constexpr Duration kUsualTime = std::chrono::seconds(1);
/// Age at which half of a deviation from the mean is left. Half of a slow phase
/// of 600 ms.
constexpr Duration kWorkTimeHalfLife = std::chrono::milliseconds(300);
/// Half-life of the mean work time. Long against a slow phase.
constexpr Duration kMeanHalfLife = std::chrono::seconds(5);
/// Maximum time for which a stated work time counts in the mean, since the next
/// report may be seconds away.
constexpr Duration kMaxMeanStep = std::chrono::milliseconds(500);
/// A work time within this factor of the mean is too close to it to be compared
/// with an answer.
constexpr double kMinDeviation = 1.2;
/// Weight of one answer in the trust.
constexpr double kTrustGain = 0.05;
/// Requests by which a true statement may be below the known load: those that
/// ended at the target while the messages of peers were on their way.
constexpr int kKnownLoadSlack = 2;
/// Slots of a record above this count as this, which keeps products in range.
constexpr int kMaxSlots = 1'000'000;
/// Statements of more running or waiting requests than these multiples of the
/// record's slots are false. Targets have queues of up to seven per slot.
constexpr std::uint32_t kMaxRunningPerSlot = 2;
constexpr std::uint32_t kMaxWaitingPerSlot = 16;
/// Reports over which their interval is averaged.
constexpr int kIntervalSamples = 10;
/// Trust from which on the work time has its full influence.
constexpr double kFullTrust = 0.5;

// Returns the requests at a target as it states them, or nullopt if that can't
// be true.
std::optional<int> StatedLoad(const TargetLoadReport& report, int slots) {
  const std::uint32_t known_slots =
      static_cast<std::uint32_t>(std::clamp(slots, 0, kMaxSlots));
  if (report.running > kMaxRunningPerSlot * known_slots ||
      report.waiting > kMaxWaitingPerSlot * known_slots) {
    return std::nullopt;
  }
  return static_cast<int>(report.running + report.waiting);
}

double HalvesIn(Duration time, Duration half_life) {
  return std::exp2(-ToSeconds(time) / ToSeconds(half_life));
}

}  // namespace

void LoadReports::OnReport(const TargetLoadReport& report, int known, int slots,
                           Time now) {
  SetMadeAt(now);
  peer_ = 0;
  const std::optional<int> stated = StatedLoad(report, slots);
  stated_full_ = stated.has_value() && *stated >= slots;
  stated_at_ = now;
  // A target can't run fewer requests than were sent to it.
  others_.reset();
  if (stated.has_value() && *stated + kKnownLoadSlack >= known &&
      now >= distrusted_until_) {
    others_ = std::max(0, *stated - known);
  }
  SetWorkTime(report.work_time.value_or(0), now);
}

bool LoadReports::OnForwarded(const ForwardedLoadReport& report,
                              std::uint32_t peer, Time now) {
  const Duration age = std::chrono::milliseconds(report.age_ms);
  if (age > kMaxAge || now - age <= made_at_) {
    return false;
  }
  SetMadeAt(now - age);
  peer_ = peer;
  others_.reset();
  if (report.others.has_value() && now >= distrusted_until_) {
    others_ = static_cast<int>(
        std::min(*report.others, ForwardedLoadReport::kMaxOthers));
  }
  SetWorkTime(report.work_time, made_at_);
  return true;
}

void LoadReports::SetMadeAt(Time made_at) {
  const Duration gap = std::clamp(made_at - made_at_, Duration(0), kMaxAge);
  interval_ += (gap - interval_) / kIntervalSamples;
  made_at_ = made_at;
}

void LoadReports::SetWorkTime(double stated, Time made_at) {
  if (!std::isfinite(stated) || stated <= 0) {
    work_time_ = 0;
    return;
  }
  const double clamped = std::clamp(stated, kMinWorkTime, kMaxWorkTime);
  if (mean_time_ == Duration(0)) {
    const bool is_plausible =
        clamped > kMinRelativeTime && clamped < kMaxRelativeTime;
    mean_work_time_ = is_plausible ? 1 : clamped;
    mean_time_ = kUsualTime;
  } else if (work_time_ > 0) {
    const Duration step =
        std::clamp(made_at - work_time_at_, Duration(0), kMaxMeanStep);
    mean_time_ += step;
    const double gain = std::max(1 - HalvesIn(step, kMeanHalfLife),
                                 ToSeconds(step) / ToSeconds(mean_time_));
    mean_work_time_ += gain * ((work_time_ + clamped) / 2 - mean_work_time_);
  }
  work_time_ = clamped;
  work_time_at_ = made_at;
}

double LoadReports::StatedWorkTime(Time now) const {
  if (work_time_ == 0) {
    return 1;
  }
  const double relative = std::clamp(work_time_ / mean_work_time_,
                                     kMinRelativeTime, kMaxRelativeTime);
  const Duration age = std::max(Duration(0), now - work_time_at_);
  return 1 + (relative - 1) * HalvesIn(age, kWorkTimeHalfLife);
}

void LoadReports::OnRefusedAsFull(Time now) {
  if (HasReport() && !stated_full_ && now - stated_at_ <= kMaxAge) {
    distrusted_until_ = now + kDistrustTime;
    others_.reset();
  }
}

std::optional<int> LoadReports::Others(Time now) const {
  return now - made_at_ > kMaxAge ? std::nullopt : others_;
}

void LoadReports::OnMeasured(double slowness, Time now) {
  const double stated = StatedWorkTime(now);
  if (slowness <= 0 || std::abs(std::log(stated)) < std::log(kMinDeviation)) {
    return;
  }
  const bool is_better =
      std::abs(std::log(slowness / stated)) <= std::abs(std::log(slowness));
  trust_ += kTrustGain * ((is_better ? 1 : 0) - trust_);
}

double LoadReports::WorkTime(Time now) const {
  return 1 + std::min(1.0, trust_ / kFullTrust) * (StatedWorkTime(now) - 1);
}

std::optional<ForwardedLoadReport> LoadReports::ToForward(std::uint16_t start,
                                                          Time now) const {
  if (!HasReport() || peer_ != 0 || now - made_at_ > kForwardTime) {
    return std::nullopt;
  }
  ForwardedLoadReport report;
  report.start = start;
  report.age_ms = static_cast<std::uint32_t>(
      std::max(Duration(0), now - made_at_) / std::chrono::milliseconds(1));
  report.work_time = static_cast<float>(work_time_);
  if (others_.has_value()) {
    report.others = static_cast<std::uint32_t>(*others_);
  }
  return report;
}

}  // namespace hornbeamcleat
