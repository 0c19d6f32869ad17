#include "src/schedule/crash_tracker.h"

#include <algorithm>
#include <string>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Time by which entries take trials one after the other. Longer than gossip
/// takes to reach all of them.
constexpr Duration kTrialStep = std::chrono::seconds(1);
/// The report is made anew after this time, since the ages in it are those of
/// the moment at which it was made.
constexpr Duration kReportPeriod = std::chrono::seconds(30);

}  // namespace

void CrashTracker::SetView(const ClusterView& view, Time now) {
  entry_count_ = view.entry_count;
  entry_index_ = view.entry_index;
  for (const auto& [vm, losses] : view.peer_losses) {
    // Parts of one report may arrive one after the other.
    SequencedLosses& merged = merged_[vm];
    if (merged != losses) {
      merged = losses;
      losses_.OnPeerReport(losses.report, now);
    }
  }
  std::erase_if(merged_, [&](const auto& item) {
    return !view.peer_losses.contains(item.first);
  });
}

CrashTracker::Verdict CrashTracker::Check(const RequestSpec& spec, Time now) {
  if (!IsRefused(spec)) {
    return Verdict::kAccepted;
  }
  const auto delay = [this](std::uint64_t code) {
    const auto n = static_cast<std::uint64_t>(entry_count_);
    return kTrialStep * ((static_cast<std::uint64_t>(entry_index_) + code) % n);
  };
  return losses_.TakeTrial(spec.properties, delay, now) ? Verdict::kTrial
                                                        : Verdict::kRefused;
}

bool CrashTracker::IsLikelyDeadly(const RequestSpec& spec, Time now) const {
  const std::vector<RequestProperty> refused =
      losses_.RefusedOf(spec.properties);
  return std::any_of(refused.begin(), refused.end(),
                     [&](RequestProperty property) {
                       return !losses_.IsTrusted(property, now);
                     });
}

TargetRun CrashTracker::OnSent(const RequestSpec& spec,
                               const TargetName& target, Verdict verdict,
                               Time now) {
  if (verdict == Verdict::kTrial) {
    losses_.OnTrialSent(spec.properties, now);
  }
  return {spec.properties, IncarnationOf(target), now};
}

void CrashTracker::Tick(Time now) {
  losses_.Expire(now);
  losses_.ReportAnswers(
      [this](std::uint64_t code) {
        const auto n = static_cast<std::uint64_t>(entry_count_);
        return static_cast<int>(
            (static_cast<std::uint64_t>(entry_index_) + code) % n);
      },
      now);
  const bool is_due =
      !report_.report.losses.empty() && now - reported_at_ >= kReportPeriod;
  if (losses_.Changes() != reported_changes_ || is_due) {
    reported_changes_ = losses_.Changes();
    reported_at_ = now;
    report_.report = losses_.OwnReport(now);
    // Differs after a restart, when other entries have merged earlier ones.
    report_.sequence = static_cast<std::uint64_t>(
        std::max<std::int64_t>(1, now.time_since_epoch().count()));
  }
}

std::uint32_t CrashTracker::IncarnationOf(const TargetName& target) const {
  int starts = 0;
  std::uint32_t incarnation = 0;
  do {
    incarnation = Hash32(target + '/' + std::to_string(starts++));
  } while (losses_.KnowsLossOf(incarnation));
  return incarnation;
}

}  // namespace hornbeamcleat
