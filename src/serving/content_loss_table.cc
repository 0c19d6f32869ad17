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

/// A target that answers a request sent within this time after a connection was
/// lost has not been restarted in between.
constexpr Duration kMinRestartTime = std::chrono::seconds(1);

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
  AddTarget(Hash32(target_incarnation), now, entry);
  entry->requested_at = now;
  entry->reported_until = now + options_.refusal_time * kMemoryFactor;
  UpdateRefusal(fingerprint, entry, now);
  ++changes_;
}

void ContentLossTable::OnTargetAnswered(std::string_view target_incarnation,
                                        Time sent_at) {
  if (recently_lost_.empty()) {
    return;
  }
  const std::uint32_t target = Hash32(target_incarnation);
  const auto it = recently_lost_.find(target);
  if (it == recently_lost_.end() || it->second > sent_at ||
      sent_at - it->second >= kMinRestartTime) {
    return;
  }
  alive_[target] = sent_at;
  if (DropLosses(target, sent_at)) {
    ++changes_;
  }
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
    if (it != entries_.end() &&
        std::all_of(it->second.targets.begin(), it->second.targets.end(),
                    [at](const auto& item) { return item.second <= at; })) {
      Clear(clearance.fingerprint, at);
    }
  }
  for (const TargetSighting& sighting : report.alive) {
    const Time at = FromAge(sighting.age_ms, now);
    Time& known = alive_[sighting.target];
    known = std::max(known, at);
    DropLosses(sighting.target, at);
  }
  for (const ContentLoss& loss : report.losses) {
    MergeLoss(loss, now);
  }
}

void ContentLossTable::MergeLoss(const ContentLoss& loss, Time now) {
  const auto cleared = cleared_.find(loss.fingerprint);
  Entry* entry = nullptr;
  for (const TargetSighting& lost : loss.targets) {
    const Time lost_at = FromAge(lost.age_ms, now);
    if ((cleared != cleared_.end() && lost_at <= cleared->second) ||
        WasAlive(lost.target, lost_at)) {
      continue;
    }
    entry = FindOrAdd(loss.fingerprint);
    AddTarget(lost.target, lost_at, entry);
  }
  if (entry != nullptr) {
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
    ContentLoss loss;
    loss.fingerprint = fingerprint;
    loss.request_age_ms = AgeMs(requested_at, now);
    for (const auto& [target, lost_at] : entries_.at(fingerprint).targets) {
      loss.targets.push_back({target, AgeMs(lost_at, now)});
    }
    report.losses.push_back(std::move(loss));
  }
  for (const auto& [target, at] : alive_) {
    if (report.alive.size() < kMaxReported) {
      report.alive.push_back({target, AgeMs(at, now)});
    }
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
  const auto is_old = [&](const auto& item) {
    return now >= item.second + options_.refusal_time;
  };
  std::erase_if(cleared_, is_old);
  std::erase_if(alive_, is_old);
  std::erase_if(recently_lost_, is_old);
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

void ContentLossTable::AddTarget(std::uint32_t target, Time lost_at,
                                 Entry* entry) {
  if (entry->targets.size() < kMaxTargetsPerContent ||
      entry->targets.contains(target)) {
    Time& known = entry->targets[target];
    known = std::max(known, lost_at);
  }
  Time& latest = recently_lost_[target];
  latest = std::max(latest, lost_at);
}

bool ContentLossTable::WasAlive(std::uint32_t target, Time lost_at) const {
  const auto it = alive_.find(target);
  return it != alive_.end() && lost_at <= it->second &&
         it->second - lost_at < kMinRestartTime;
}

bool ContentLossTable::DropLosses(std::uint32_t target, Time at) {
  bool any = false;
  for (auto& [fingerprint, entry] : entries_) {
    const auto it = entry.targets.find(target);
    if (it != entry.targets.end() && it->second <= at &&
        at - it->second < kMinRestartTime) {
      entry.targets.erase(it);
      entry.is_refused = false;
      any = true;
    }
  }
  std::erase_if(entries_,
                [](const auto& item) { return item.second.targets.empty(); });
  return any;
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
