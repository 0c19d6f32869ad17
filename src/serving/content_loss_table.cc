#include "src/serving/content_loss_table.h"

#include <algorithm>
#include <functional>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Losses are remembered for this multiple of the refusal time.
constexpr int kMemoryFactor = 20;
/// Further losses allowed to content that this VM answered recently. Many
/// callers may ask for the same thing, so that it runs on each target that is
/// lost for another reason.
constexpr int kExtraLossesIfAnswered = 2;

/// The first trial comes after this fraction (1/N) of the refusal time.
constexpr int kFirstTrialDivisor = 6;
constexpr std::uint32_t kMaxDoublings = 6;
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
  const std::uint32_t target = Hash32(target_incarnation);
  Entry* entry = FindOrAdd(fingerprint);
  AddTarget(fingerprint, target, now, entry);
  entry->tried_at = now;
  // A trial that ends otherwise tells nothing, and the next one comes as soon.
  if (std::exchange(entry->has_open_trial, false)) {
    ++entry->trials;
  }
  entry->changed_at = now;
  UpdateRefusals({target}, now);
  ++changes_;
}

void ContentLossTable::OnTargetAnswered(std::string_view target_incarnation,
                                        Time sent_at, Time now) {
  if (recently_lost_.empty() && unproven_.empty()) {
    return;
  }
  const std::uint32_t target = Hash32(target_incarnation);
  ProveAnswers(target, sent_at, now);
  const auto it = recently_lost_.find(target);
  if (it == recently_lost_.end() || it->second > sent_at ||
      sent_at - it->second >= kMinRestartTime) {
    return;
  }
  alive_[target] = {sent_at, now};
  if (DropLosses(target, sent_at)) {
    ++changes_;
  }
}

void ContentLossTable::OnAnswered(std::uint64_t fingerprint, Time now) {
  CountAnswer(fingerprint, now, now);
}

void ContentLossTable::CountAnswer(std::uint64_t fingerprint, Time answered_at,
                                   Time now) {
  RememberAnswer(fingerprint, answered_at);
  if (entries_.contains(fingerprint)) {
    Clear(fingerprint, answered_at);
    cleared_[fingerprint].seen_at = now;
    ++changes_;
  }
}

void ContentLossTable::OnUnprovenAnswer(std::uint64_t fingerprint,
                                        std::string_view target_incarnation,
                                        Time now) {
  if (entries_.contains(fingerprint)) {
    unproven_[Hash32(target_incarnation)][fingerprint] = now;
  }
}

void ContentLossTable::ProveAnswers(std::uint32_t target, Time alive_at,
                                    Time now) {
  const auto answers = unproven_.find(target);
  if (answers == unproven_.end()) {
    return;
  }
  for (const auto& [fingerprint, answered_at] : answers->second) {
    if (answered_at <= alive_at && alive_at - answered_at < kMinRestartTime) {
      CountAnswer(fingerprint, answered_at, now);
    }
  }
  unproven_.erase(answers);
}

bool ContentLossTable::TakeTrial(std::uint64_t fingerprint, Duration delay,
                                 Time now) {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end() ||
      now < it->second.tried_at + RefusalTime(it->second) + delay) {
    return false;
  }
  it->second.tried_at = now;
  it->second.has_open_trial = true;
  it->second.changed_at = now;
  ++changes_;
  return true;
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
    Time& known = alive_[sighting.target].at;
    known = std::max(known, at);
    DropLosses(sighting.target, at);
  }
  for (const ContentLoss& loss : report.losses) {
    MergeLoss(loss, now);
  }
}

void ContentLossTable::MergeLoss(const ContentLoss& loss, Time now) {
  const auto cleared = cleared_.find(loss.fingerprint);
  std::vector<std::uint32_t> added;
  for (const TargetSighting& lost : loss.targets) {
    const Time lost_at = FromAge(lost.age_ms, now);
    if ((cleared != cleared_.end() && lost_at <= cleared->second.at) ||
        WasAlive(lost.target, lost_at)) {
      continue;
    }
    if (AddTarget(loss.fingerprint, lost.target, lost_at,
                  FindOrAdd(loss.fingerprint))) {
      added.push_back(lost.target);
    }
  }
  const auto it = entries_.find(loss.fingerprint);
  if (it != entries_.end()) {
    it->second.tried_at =
        std::max(it->second.tried_at, FromAge(loss.trial_age_ms, now));
    it->second.trials = std::max(it->second.trials, loss.trials);
  }
  UpdateRefusals(added, now);
}

int ContentLossTable::Losses(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : static_cast<int>(it->second.targets.size());
}

bool ContentLossTable::IsRefused(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  return it != entries_.end() && it->second.is_refused;
}

Duration ContentLossTable::TimeToTrial(std::uint64_t fingerprint,
                                       Time now) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end()
             ? Duration(0)
             : std::max(Duration(0),
                        it->second.tried_at + RefusalTime(it->second) - now);
}

bool ContentLossTable::IsSuspect(std::uint64_t fingerprint, Time now) const {
  const auto it = entries_.find(fingerprint);
  return it != entries_.end() && !IsTrusted(fingerprint, now) &&
         UnexplainedLosses(it->second) > 0;
}

std::vector<std::uint64_t> ContentLossTable::TakeNewlyRefused() {
  return std::exchange(newly_refused_, {});
}

ContentReport ContentLossTable::ChangesSince(Time since, Time now) const {
  return MakeReport(since, now);
}

ContentReport ContentLossTable::CompleteReport(Time now) const {
  return MakeReport(kNeverSeen, now);
}

ContentReport ContentLossTable::MakeReport(Time since, Time now) const {
  std::vector<std::pair<Time, std::uint64_t>> latest;
  for (const auto& [fingerprint, entry] : entries_) {
    if (entry.changed_at >= since && !IsForgotten(entry, now)) {
      latest.emplace_back(entry.tried_at, fingerprint);
    }
  }
  const std::size_t n = std::min(latest.size(), kMaxReported);
  std::partial_sort(latest.begin(),
                    latest.begin() + static_cast<std::ptrdiff_t>(n),
                    latest.end(), std::greater<>());
  latest.resize(n);
  ContentReport report;
  for (const auto& [tried_at, fingerprint] : latest) {
    const Entry& entry = entries_.at(fingerprint);
    ContentLoss loss;
    loss.fingerprint = fingerprint;
    loss.trial_age_ms = AgeMs(tried_at, now);
    loss.trials = entry.trials;
    for (const auto& [target, lost_at] : entry.targets) {
      loss.targets.push_back({target, AgeMs(lost_at, now)});
    }
    report.losses.push_back(std::move(loss));
  }
  for (const auto& [target, sighting] : alive_) {
    if (report.alive.size() < kMaxReported && sighting.seen_at >= since) {
      report.alive.push_back({target, AgeMs(sighting.at, now)});
    }
  }
  for (const auto& [fingerprint, clearance] : cleared_) {
    if (report.clearances.size() < kMaxReported && clearance.seen_at >= since) {
      report.clearances.push_back({fingerprint, AgeMs(clearance.at, now)});
    }
  }
  return report;
}

int ContentLossTable::RefusedCount() const {
  return static_cast<int>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& item) { return item.second.is_refused; }));
}

void ContentLossTable::Expire(Time now) {
  std::vector<std::uint64_t> forgotten;
  for (const auto& [fingerprint, entry] : entries_) {
    if (IsForgotten(entry, now)) {
      forgotten.push_back(fingerprint);
    }
  }
  for (const std::uint64_t fingerprint : forgotten) {
    Erase(fingerprint);
  }
  const auto is_old = [&](const auto& item) {
    return now >= item.second + options_.refusal_time;
  };
  const auto is_old_sighting = [&](const auto& item) {
    return now >= item.second.at + options_.refusal_time;
  };
  std::erase_if(cleared_, is_old_sighting);
  std::erase_if(alive_, is_old_sighting);
  std::erase_if(recently_lost_, is_old);
  std::erase_if(unproven_, [&](const auto& answers) {
    return std::all_of(answers.second.begin(), answers.second.end(), is_old);
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

bool ContentLossTable::HasOtherCause(std::uint64_t fingerprint,
                                     const Entry& entry) const {
  // The smallest of the sets keeps the search short.
  const LostTarget* fewest = nullptr;
  for (const auto& [target, lost_at] : entry.targets) {
    const LostTarget& lost = lost_targets_.at(target);
    if (fewest == nullptr || lost.contents.size() < fewest->contents.size()) {
      fewest = &lost;
    }
  }
  return std::any_of(
      fewest->contents.begin(), fewest->contents.end(), [&](const auto& other) {
        const std::map<std::uint32_t, Time>& losses = other.second->targets;
        return other.first != fingerprint &&
               std::all_of(entry.targets.begin(), entry.targets.end(),
                           [&](const auto& item) {
                             return losses.contains(item.first);
                           });
      });
}

int ContentLossTable::UnexplainedLosses(const Entry& entry) const {
  return static_cast<int>(std::count_if(
      entry.targets.begin(), entry.targets.end(), [&](const auto& item) {
        const auto& refused = lost_targets_.at(item.first).refused_by_losses;
        return std::all_of(
            refused.begin() +
                static_cast<std::ptrdiff_t>(entry.targets.size()) + 1,
            refused.end(), [](int count) { return count == 0; });
      }));
}

void ContentLossTable::SetRefused(bool is_refused, Entry* entry) {
  CountRefused(*entry, -1);
  entry->is_refused = is_refused;
  CountRefused(*entry, 1);
}

void ContentLossTable::CountRefused(const Entry& entry, int sign) {
  if (!entry.is_refused) {
    return;
  }
  for (const auto& [target, lost_at] : entry.targets) {
    lost_targets_.at(target).refused_by_losses[entry.targets.size()] += sign;
  }
}

Duration ContentLossTable::RefusalTime(const Entry& entry) const {
  return entry.trials == 0
             ? options_.refusal_time / kFirstTrialDivisor
             : options_.refusal_time *
                   (1 << std::min(entry.trials - 1, kMaxDoublings));
}

bool ContentLossTable::IsForgotten(const Entry& entry, Time now) const {
  return now >= entry.tried_at + std::max(options_.refusal_time * kMemoryFactor,
                                          RefusalTime(entry) * 2);
}

ContentLossTable::Entry* ContentLossTable::FindOrAdd(
    std::uint64_t fingerprint) {
  if (entries_.size() >= kMaxEntries && !entries_.contains(fingerprint)) {
    Erase(std::min_element(entries_.begin(), entries_.end(),
                           [](const auto& a, const auto& b) {
                             return a.second.tried_at < b.second.tried_at;
                           })
              ->first);
  }
  return &entries_[fingerprint];
}

void ContentLossTable::Erase(std::uint64_t fingerprint) {
  const auto it = entries_.find(fingerprint);
  CountRefused(it->second, -1);
  for (const auto& [target, lost_at] : it->second.targets) {
    RemoveContent(target, fingerprint);
  }
  entries_.erase(it);
}

void ContentLossTable::RemoveContent(std::uint32_t target,
                                     std::uint64_t fingerprint) {
  const auto lost = lost_targets_.find(target);
  lost->second.contents.erase(fingerprint);
  if (lost->second.contents.empty()) {
    lost_targets_.erase(lost);
  }
}

bool ContentLossTable::AddTarget(std::uint64_t fingerprint,
                                 std::uint32_t target, Time lost_at,
                                 Entry* entry) {
  Time& latest = recently_lost_[target];
  latest = std::max(latest, lost_at);
  const auto known = entry->targets.find(target);
  if (known != entry->targets.end()) {
    known->second = std::max(known->second, lost_at);
    return false;
  }
  if (entry->targets.size() >= kMaxTargetsPerContent) {
    return false;
  }
  CountRefused(*entry, -1);
  entry->targets.emplace(target, lost_at);
  lost_targets_[target].contents[fingerprint] = entry;
  CountRefused(*entry, 1);
  return true;
}

bool ContentLossTable::WasAlive(std::uint32_t target, Time lost_at) const {
  const auto it = alive_.find(target);
  return it != alive_.end() && lost_at <= it->second.at &&
         it->second.at - lost_at < kMinRestartTime;
}

bool ContentLossTable::DropLosses(std::uint32_t target, Time at) {
  const auto lost = lost_targets_.find(target);
  if (lost == lost_targets_.end()) {
    return false;
  }
  bool any = false;
  const std::map<std::uint64_t, Entry*> contents = lost->second.contents;
  for (const auto& [fingerprint, entry] : contents) {
    const Time lost_at = entry->targets.at(target);
    if (lost_at > at || at - lost_at >= kMinRestartTime) {
      continue;
    }
    any = true;
    if (entry->targets.size() == 1) {
      Erase(fingerprint);
      continue;
    }
    CountRefused(*entry, -1);
    entry->targets.erase(target);
    RemoveContent(target, fingerprint);
    CountRefused(*entry, 1);
    UpdateRefusals({entry->targets.begin()->first}, at);
  }
  return any;
}

void ContentLossTable::UpdateRefusals(const std::vector<std::uint32_t>& targets,
                                      Time now) {
  for (const std::uint32_t target : targets) {
    const auto lost = lost_targets_.find(target);
    if (lost == lost_targets_.end()) {
      continue;
    }
    for (const auto& [fingerprint, entry] : lost->second.contents) {
      // Too few losses to be refused; most contents beside a cause have one.
      if (!entry->is_refused &&
          static_cast<int>(entry->targets.size()) < options_.limit) {
        continue;
      }
      const int limit =
          options_.limit + (HasOtherCause(fingerprint, *entry) ? 1 : 0) +
          (IsTrusted(fingerprint, now) ? kExtraLossesIfAnswered : 0);
      const bool was_refused = entry->is_refused;
      SetRefused(UnexplainedLosses(*entry) >= limit, entry);
      if (entry->is_refused && !was_refused) {
        newly_refused_.push_back(fingerprint);
      }
    }
  }
}

void ContentLossTable::Clear(std::uint64_t fingerprint, Time at) {
  std::vector<std::uint32_t> targets;
  for (const auto& [target, lost_at] : entries_.at(fingerprint).targets) {
    targets.push_back(target);
  }
  Erase(fingerprint);
  cleared_[fingerprint].at = at;
  UpdateRefusals(targets, at);
}

void ContentLossTable::RememberAnswer(std::uint64_t fingerprint, Time now) {
  answered_[fingerprint] = now;
  answered_order_.emplace_back(now, fingerprint);
}

}  // namespace hornbeamcleat
