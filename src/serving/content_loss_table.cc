#include "src/serving/content_loss_table.h"

#include <algorithm>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Losses are remembered for this multiple of the refusal time.
constexpr int kMemoryFactor = 20;
/// Further losses allowed to content that this VM answered recently. Many
/// callers may ask for the same thing, so that it runs on each target that is
/// lost for another reason.
constexpr int kExtraLossesIfAnswered = 2;

std::uint32_t AgeMs(Time at, Time now) {
  return static_cast<std::uint32_t>(std::max(Duration(0), now - at) /
                                    std::chrono::milliseconds(1));
}

Time FromAge(std::uint32_t age_ms, Time now) {
  return now - std::chrono::milliseconds(age_ms);
}

}  // namespace

void ContentLossTable::OnTargetLost(std::uint64_t fingerprint,
                                    std::string_view target_incarnation,
                                    Time now) {
  Entry* entry = FindOrAdd(fingerprint);
  if (IsForgotten(*entry, now)) {
    *entry = Entry();
  }
  AddTarget(Hash32(target_incarnation), entry);
  entry->lost_at = now;
  entry->requested_at = now;
  entry->reported_until = now + options_.refusal_time * kMemoryFactor;
  UpdateRefusal(fingerprint, entry, now);
  ++changes_;
}

void ContentLossTable::OnAnswered(std::uint64_t fingerprint, Time now) {
  RememberAnswer(fingerprint, now);
  if (entries_.contains(fingerprint)) {
    Clear(fingerprint, now);
    ++changes_;
  }
}

void ContentLossTable::OnRefused(std::uint64_t fingerprint, Time now) {
  const auto it = entries_.find(fingerprint);
  if (it != entries_.end()) {
    it->second.requested_at = now;
    it->second.reported_until =
        std::max(it->second.reported_until, now + options_.refusal_time);
  }
}

void ContentLossTable::OnPeerReport(const ContentReport& report, Time now) {
  for (const ContentClearance& clearance : report.clearances) {
    const Time at = FromAge(clearance.age_ms, now);
    const auto it = entries_.find(clearance.fingerprint);
    if (it != entries_.end() && it->second.lost_at <= at) {
      Clear(clearance.fingerprint, at);
    }
  }
  for (const ContentLoss& loss : report.losses) {
    const Time lost_at = FromAge(loss.age_ms, now);
    const auto cleared = cleared_.find(loss.fingerprint);
    if (cleared != cleared_.end() && lost_at <= cleared->second) {
      continue;
    }
    Entry* entry = FindOrAdd(loss.fingerprint);
    for (const std::uint32_t target : loss.targets) {
      AddTarget(target, entry);
    }
    entry->lost_at = std::max(entry->lost_at, lost_at);
    entry->requested_at =
        std::max(entry->requested_at, FromAge(loss.request_age_ms, now));
    UpdateRefusal(loss.fingerprint, entry, now);
  }
}

int ContentLossTable::Losses(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : static_cast<int>(it->second.targets.size());
}

bool ContentLossTable::IsRefused(std::uint64_t fingerprint, Time now) const {
  const auto it = entries_.find(fingerprint);
  return it != entries_.end() && !HasLapsed(it->second, now) &&
         static_cast<int>(it->second.targets.size()) >=
             LimitFor(fingerprint, now);
}

bool ContentLossTable::IsSuspect(std::uint64_t fingerprint, Time now) const {
  const auto it = entries_.find(fingerprint);
  return it != entries_.end() && !IsForgotten(it->second, now) &&
         !IsTrusted(fingerprint, now);
}

std::vector<std::uint64_t> ContentLossTable::TakeNewlyRefused() {
  return std::exchange(newly_refused_, {});
}

ContentReport ContentLossTable::Report(bool is_complete, Time now) const {
  std::vector<std::pair<Time, std::uint64_t>> latest;
  for (const auto& [fingerprint, entry] : entries_) {
    if (!IsForgotten(entry, now) &&
        (is_complete || now < entry.reported_until)) {
      latest.emplace_back(entry.requested_at, fingerprint);
    }
  }
  const std::size_t n = std::min(latest.size(), kMaxReported);
  std::partial_sort(latest.begin(),
                    latest.begin() + static_cast<std::ptrdiff_t>(n),
                    latest.end(), std::greater<>());
  latest.resize(n);
  ContentReport report;
  for (const auto& [requested_at, fingerprint] : latest) {
    const Entry& entry = entries_.at(fingerprint);
    report.losses.push_back({fingerprint,
                             {entry.targets.begin(), entry.targets.end()},
                             AgeMs(entry.lost_at, now),
                             AgeMs(entry.requested_at, now)});
  }
  for (const auto& [fingerprint, at] : cleared_) {
    if (report.clearances.size() < kMaxReported) {
      report.clearances.push_back({fingerprint, AgeMs(at, now)});
    }
  }
  return report;
}

int ContentLossTable::RefusedCount(Time now) const {
  return static_cast<int>(std::count_if(
      entries_.begin(), entries_.end(),
      [&](const auto& item) { return IsRefused(item.first, now); }));
}

void ContentLossTable::Expire(Time now) {
  std::erase_if(entries_, [&](const auto& item) {
    return IsForgotten(item.second, now);
  });
  for (auto& [fingerprint, entry] : entries_) {
    entry.is_refused = entry.is_refused && !HasLapsed(entry, now);
  }
  std::erase_if(cleared_, [&](const auto& item) {
    return now >= item.second + options_.refusal_time;
  });
  while (!answered_order_.empty() &&
         (answered_order_.size() > kMaxEntries ||
          now >= answered_order_.front().first + options_.refusal_time)) {
    const auto [at, fingerprint] = answered_order_.front();
    answered_order_.pop_front();
    const auto it = answered_.find(fingerprint);
    if (it != answered_.end() && it->second == at) {
      answered_.erase(it);
    }
  }
}

bool ContentLossTable::IsTrusted(std::uint64_t fingerprint, Time now) const {
  const auto it = answered_.find(fingerprint);
  return it != answered_.end() && now < it->second + options_.refusal_time;
}

int ContentLossTable::LimitFor(std::uint64_t fingerprint, Time now) const {
  return options_.limit +
         (IsTrusted(fingerprint, now) ? kExtraLossesIfAnswered : 0);
}

bool ContentLossTable::IsForgotten(const Entry& entry, Time now) const {
  return now >= entry.requested_at + options_.refusal_time * kMemoryFactor;
}

ContentLossTable::Entry* ContentLossTable::FindOrAdd(
    std::uint64_t fingerprint) {
  if (entries_.size() >= kMaxEntries && !entries_.contains(fingerprint)) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return a.second.requested_at < b.second.requested_at;
        }));
  }
  return &entries_[fingerprint];
}

void ContentLossTable::AddTarget(std::uint32_t target, Entry* entry) {
  if (entry->targets.size() < kMaxTargetsPerContent) {
    entry->targets.insert(target);
  }
}

void ContentLossTable::UpdateRefusal(std::uint64_t fingerprint, Entry* entry,
                                     Time now) {
  const bool is_refused = IsRefused(fingerprint, now);
  if (is_refused && !entry->is_refused) {
    newly_refused_.push_back(fingerprint);
  }
  entry->is_refused = is_refused;
}

void ContentLossTable::Clear(std::uint64_t fingerprint, Time at) {
  entries_.erase(fingerprint);
  cleared_[fingerprint] = at;
}

void ContentLossTable::RememberAnswer(std::uint64_t fingerprint, Time now) {
  answered_[fingerprint] = now;
  answered_order_.emplace_back(now, fingerprint);
}

}  // namespace hornbeamcleat
