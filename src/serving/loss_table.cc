#include "src/serving/loss_table.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <tuple>

namespace hornbeamcleat {
namespace {

/// Further losses allowed to content that was answered recently. Many callers
/// may ask for the same thing, so that it runs on each target that is lost for
/// another reason.
constexpr int kExtraLossesOfTrustedContent = 2;
/// Further losses allowed to other properties. They are counted in sequence.
constexpr int kExtraLossesIfTrusted = 1;
constexpr int kExtraLossesIfBroad = 1;
/// Further losses allowed to what all requests may share: since the first of
/// them, fewer than kMinAnswersWithout requests without it were answered, so
/// that the targets may be lost for any other reason.
constexpr int kExtraLossesWithoutContrast = 3;
/// Losses in sequence from which a trusted property is suspected.
constexpr int kLossesToSuspectTrusted = 2;

/// The first trial comes after this fraction (1/N) of the refusal time.
constexpr int kFirstTrialDivisor = 6;
/// Trials after which the next ones come at the intervals of kMemoryFactor.
constexpr std::uint32_t kQuickTrials = 3;
constexpr std::uint32_t kMaxDoublings = 6;
/// Fraction (1/N) of the entries that are evicted together.
constexpr std::size_t kEvictionDivisor = 16;
/// An answer is reported again after this time if losses go on.
constexpr Duration kAnswerReportInterval = std::chrono::seconds(5);
/// VMs that tell peers of answers to a lost property at once, and the interval
/// after which four times as many do.
constexpr int kFirstAnswerReporters = 8;
constexpr Duration kAnswerReporterStep = std::chrono::milliseconds(250);

std::uint32_t ToMs(Duration d) {
  return static_cast<std::uint32_t>(std::max(Duration(0), d) /
                                    std::chrono::milliseconds(1));
}

Time FromAge(std::uint32_t age_ms, Time now) {
  return now - std::chrono::milliseconds(age_ms);
}

// Properties that many requests have which differ otherwise.
bool IsBroad(PropertyKind kind) {
  return kind != PropertyKind::kContent && kind != PropertyKind::kPart;
}

bool IsCombination(PropertyKind kind) {
  return kind == PropertyKind::kPair || kind == PropertyKind::kTriple;
}

}  // namespace

void LossTable::OnTargetLost(const TargetRun& run, Time now) {
  AddLoss(run, now, false, now);
  CountOpenRuns(run.target, now, now);
}

void LossTable::OnSilent(const TargetRun& run, Time now) {
  const auto heard = heard_.find(run.target);
  if (heard != heard_.end() && heard->second >= run.sent_at) {
    OnAbandoned(run, now);
  } else {
    AddLoss(run, now, true, now);
  }
}

void LossTable::OnTargetHeard(std::uint32_t target, Time now) {
  heard_[target] = now;
  if (silent_.erase(target) > 0) {
    alive_[target] = {now, now};
    DropLossesOf(target, now);
    ++changes_;
  }
}

void LossTable::AddLoss(const TargetRun& run, Time lost_at, bool is_silent,
                        Time now) {
  Loss loss;
  loss.is_silent = is_silent;
  loss.sent_at = std::min(run.sent_at, lost_at);
  loss.lost_at = lost_at;
  loss.request =
      run.properties.empty()
          ? std::uint16_t{0}
          : static_cast<std::uint16_t>(run.properties.front().Code() >> 16U);
  const std::vector<RequestProperty> properties =
      combinations_.OnLost(run.properties, now);
  for (const RequestProperty& property : properties) {
    loss.place = static_cast<std::uint8_t>(
        loss.place + (property.Kind() == PropertyKind::kPart ? 1 : 0));
    Entry* entry = FindOrAdd(property, now);
    const bool is_new = AddTarget(property, run.target, loss, entry);
    entry->tried_at = std::max(entry->tried_at, lost_at);
    if (std::exchange(entry->has_open_trial, false)) {
      ++entry->trials;
    }
    if (is_new || entry->is_refused) {
      entry->changed_at = now;
    }
    if (answered_.LatestOwnBegin(property).has_value() &&
        IsTrusted(property, now)) {
      ReportAnswer(property, now);
    }
  }
  DecideOnLosses(properties, run.target, now);
  ++changes_;
}

void LossTable::OnAbandoned(const TargetRun& run, Time now) {
  AddOpenRun({run, now, std::nullopt}, now);
}

void LossTable::AddOpenRun(OpenRuns::OpenRun run, Time now) {
  const auto lost = recently_lost_.find(run.run.target);
  if (lost != recently_lost_.end() && !silent_.contains(run.run.target) &&
      run.run.sent_at <= lost->second &&
      now - lost->second < OpenRuns::kMinRestartTime) {
    AddLoss(run.run, lost->second, false, now);
  } else {
    open_runs_.Add(std::move(run));
  }
}

void LossTable::CountOpenRuns(std::uint32_t target, Time lost_at, Time now) {
  for (const OpenRuns::OpenRun& run : open_runs_.TakeLost(target, lost_at)) {
    AddLoss(run.run, lost_at, false, now);
  }
}

void LossTable::OnTargetAnswered(std::uint32_t target, Time sent_at, Time now) {
  OnTargetHeard(target, now);
  if (recently_lost_.empty() && open_runs_.IsEmpty()) {
    return;
  }
  for (const OpenRuns::OpenRun& run : open_runs_.TakeProven(target, sent_at)) {
    CountAnswer(run.run, *run.began_at, now);
  }
  const auto it = recently_lost_.find(target);
  if (it == recently_lost_.end() || it->second > sent_at ||
      sent_at - it->second >= OpenRuns::kMinRestartTime) {
    return;
  }
  alive_[target] = {sent_at, now};
  if (DropLossesOf(target, sent_at)) {
    ++changes_;
  }
}

void LossTable::OnTargetUnreached(std::uint32_t target, Time now) {
  // The end of an unproven answer was the last sign of the target.
  const std::optional<Time> lost_at = open_runs_.LatestAnswerEnd(target, now);
  if (lost_at.has_value()) {
    CountOpenRuns(target, *lost_at, now);
  }
}

void LossTable::OnAnswered(const TargetRun& run, Time began_at, Time now) {
  CountAnswer(run, began_at, now);
}

void LossTable::CountAnswer(const TargetRun& run, Time began_at, Time now) {
  AddLatestAnswer(began_at);
  for (const RequestProperty& property : run.properties) {
    answered_.Add(property, began_at, true, now);
  }
  // What many requests have is answered at all VMs soon after a loss, and would
  // be reported by each of them.
  std::vector<std::pair<RequestProperty, bool>> cleared;
  ForEachKnown(run.properties, [&](RequestProperty property) {
    const Entry* entry = Find(property);
    if (entry != nullptr) {
      // Other combinations are too many to keep.
      if (IsCombination(property.Kind())) {
        answered_.Add(property, began_at, true, now);
      }
      cleared.emplace_back(
          property, property.Kind() == PropertyKind::kContent ||
                        entry->is_refused || entry->changed_at != kNeverSeen);
    }
  });
  for (const auto& [property, is_reported] : cleared) {
    if (DropLossesUntil(property, began_at) && is_reported) {
      reported_answers_[property] = {began_at, now};
      ++changes_;
    }
  }
}

void LossTable::OnUnprovenAnswer(const TargetRun& run, Time began_at,
                                 Time now) {
  AddOpenRun({run, now, began_at}, now);
}

bool LossTable::TakeTrial(const std::vector<RequestProperty>& properties,
                          const std::function<Duration(std::uint64_t)>& delay,
                          Time now) {
  const std::vector<RequestProperty> refused = RefusedOf(properties);
  for (const RequestProperty& property : refused) {
    const Entry& entry = entries_.at(property);
    if (now < entry.tried_at + RefusalTime(entry) + delay(property.Code())) {
      return false;
    }
  }
  for (const RequestProperty& property : refused) {
    Entry& entry = entries_.at(property);
    entry.tried_at = now;
    entry.has_open_trial = true;
    entry.changed_at = now;
  }
  ++changes_;
  return true;
}

void LossTable::OnTrialSent(const std::vector<RequestProperty>& properties,
                            Time now) {
  for (const RequestProperty& property : RefusedOf(properties)) {
    Entry& entry = entries_.at(property);
    if (std::exchange(entry.has_open_trial, false)) {
      ++entry.trials;
      entry.changed_at = now;
      ++changes_;
    }
  }
}

void LossTable::OnPeerReport(const LossReport& report, Time now) {
  // One answer is reported for several properties.
  std::set<Time> answers;
  for (const PropertyAnswer& answer : report.answers) {
    if (answer.property.IsKnown()) {
      const Time began_at = FromAge(answer.age_ms, now);
      if (answers.insert(began_at).second) {
        AddLatestAnswer(began_at);
      }
      answered_.Add(answer.property, began_at, false, now);
      if (entries_.contains(answer.property)) {
        reported_answers_[answer.property].heard_at = now;
      }
      if (DropLossesUntil(answer.property, began_at)) {
        reported_answers_[answer.property].at = began_at;
      }
    }
  }
  for (const TargetSighting& sighting : report.alive) {
    const Time at = FromAge(sighting.age_ms, now);
    Time& known = alive_[sighting.target].at;
    known = std::max(known, at);
    DropLossesOf(sighting.target, at);
  }
  for (const PropertyLoss& loss : report.losses) {
    if (loss.property.IsKnown()) {
      MergeLoss(loss, now);
    }
  }
}

void LossTable::MergeLoss(const PropertyLoss& loss, Time now) {
  const Time answered_at =
      answered_.LatestBegin(loss.property).value_or(kNeverSeen);
  std::vector<std::uint32_t> added;
  for (const LostRun& run : loss.runs) {
    const Time lost_at = FromAge(run.age_ms, now);
    if (now - lost_at < options_.refusal_time) {
      combinations_.Remember(loss.property, now);
    }
    const Loss lost = {FromAge(run.lasted_ms, lost_at), lost_at, run.request,
                       run.place, run.is_silent};
    if (lost_at <= answered_at || WasAlive(run.target, lost)) {
      continue;
    }
    if (AddTarget(loss.property, run.target, lost,
                  FindOrAdd(loss.property, now))) {
      added.push_back(run.target);
    }
  }
  const auto it = entries_.find(loss.property);
  if (it != entries_.end()) {
    it->second.tried_at =
        std::max(it->second.tried_at, FromAge(loss.trial_age_ms, now));
    it->second.trials = std::max(it->second.trials, loss.trials);
  }
  for (const std::uint32_t target : added) {
    DecideOnLosses({loss.property}, target, now);
    if (!silent_.contains(target)) {
      CountOpenRuns(target, recently_lost_.at(target), now);
    }
  }
}

void LossTable::Restore(const PropertyLoss& refused, Time now) {
  if (!refused.property.IsKnown() || IsTrusted(refused.property, now)) {
    return;
  }
  Entry* entry = FindOrAdd(refused.property, now);
  entry->is_restored = true;
  entry->tried_at = std::max(entry->tried_at, now);
  entry->trials = std::max(entry->trials, refused.trials);
  if (!entry->is_refused) {
    SetRefused(refused.property, true, entry);
    newly_refused_.push_back(refused.property);
  }
}

void LossTable::ReportAnswers(const std::function<int(std::uint64_t)>& rank,
                              Time now) {
  for (const auto& [property, entry] : entries_) {
    if (!answered_.LatestOwnBegin(property).has_value() ||
        !IsTrusted(property, now) || IsReportedRecently(property, now)) {
      continue;
    }
    const std::int64_t steps = (now - entry.known_at) / kAnswerReporterStep;
    const int reporters = kFirstAnswerReporters
                          << (2 * std::min<std::int64_t>(steps, 8));
    if (rank(property.Code()) < reporters) {
      ReportAnswer(property, now);
    }
  }
}

bool LossTable::IsReportedRecently(RequestProperty property, Time now) const {
  const auto it = reported_answers_.find(property);
  if (it == reported_answers_.end()) {
    return false;
  }
  const Time latest = std::max(it->second.seen_at, it->second.heard_at);
  return latest != kNeverSeen && now - latest < kAnswerReportInterval;
}

void LossTable::ReportAnswer(RequestProperty property, Time now) {
  if (!IsReportedRecently(property, now)) {
    Sighting& reported = reported_answers_[property];
    reported.at = *answered_.LatestBegin(property);
    reported.seen_at = now;
    ++changes_;
  }
}

const LossTable::Entry* LossTable::Find(RequestProperty property) const {
  const auto it = entries_.find(property);
  return it == entries_.end() ? nullptr : &it->second;
}

template <typename Use>
void LossTable::ForEachKnown(const std::vector<RequestProperty>& properties,
                             Use use) const {
  for (const RequestProperty& property : properties) {
    use(property);
  }
  if (pair_count_ > 0 || triple_count_ > 0) {
    PropertyCombinations::ForEach(properties, triple_count_ > 0, use);
  }
}

int LossTable::Losses(RequestProperty property) const {
  const Entry* entry = Find(property);
  return entry == nullptr ? 0 : static_cast<int>(entry->targets.size());
}

std::vector<RequestProperty> LossTable::RefusedOf(
    const std::vector<RequestProperty>& properties) const {
  std::vector<RequestProperty> refused;
  if (entries_.empty()) {
    return refused;
  }
  ForEachKnown(properties, [&](RequestProperty property) {
    if (IsRefused(property)) {
      refused.push_back(property);
    }
  });
  return refused;
}

bool LossTable::IsRefused(RequestProperty property) const {
  const Entry* entry = Find(property);
  return entry != nullptr && entry->is_refused;
}

bool LossTable::IsTrusted(RequestProperty property, Time now) const {
  const std::optional<Time> began_at = answered_.LatestBegin(property);
  return began_at.has_value() && now < *began_at + options_.refusal_time;
}

Duration LossTable::TimeToTrial(const std::vector<RequestProperty>& properties,
                                Time now) const {
  Duration time{0};
  for (const RequestProperty& property : RefusedOf(properties)) {
    const Entry& entry = entries_.at(property);
    time = std::max(time, entry.tried_at + RefusalTime(entry) - now);
  }
  return time;
}

bool LossTable::IsExplained(std::uint32_t target) const {
  const auto it = lost_targets_.find(target);
  return it != lost_targets_.end() &&
         std::any_of(it->second.properties.begin(), it->second.properties.end(),
                     [](const auto& item) { return item.second->is_refused; });
}

const RequestProperty* LossTable::FindSuspect(
    const std::vector<RequestProperty>& properties, Time now) const {
  const RequestProperty* suspect = nullptr;
  std::size_t most = 0;
  const RequestProperty* content = nullptr;
  for (const RequestProperty& property : properties) {
    const Entry* entry = Find(property);
    if (entry == nullptr || entry->targets.empty()) {
      continue;
    }
    const int needed = IsTrusted(property, now) ? kLossesToSuspectTrusted : 1;
    if (property.Kind() == PropertyKind::kContent) {
      if (needed == 1 && Evidence(property, *entry) > 0) {
        content = &property;
      }
    } else if (property.Kind() == PropertyKind::kPart &&
               entry->targets.size() >= most &&
               Evidence(property, *entry) >= needed) {
      suspect = &property;
      most = entry->targets.size();
    }
  }
  return suspect != nullptr ? suspect : content;
}

std::vector<RequestProperty> LossTable::TakeNewlyRefused() {
  return std::exchange(newly_refused_, {});
}

LossReport LossTable::ChangesSince(Time since, Time now) const {
  return MakeReport(since, now);
}

LossReport LossTable::OwnReport(Time now) const {
  return MakeReport(kNeverSeen + Duration(1), now);
}

LossReport LossTable::CompleteReport(Time now) const {
  return MakeReport(kNeverSeen, now);
}

std::vector<PropertyLoss> LossTable::OwnRefused(Time now) const {
  std::vector<PropertyLoss> refused;
  for (const auto& [property, entry] : entries_) {
    if (entry.is_refused && entry.changed_at != kNeverSeen) {
      refused.push_back(MakeLoss(property, entry, now));
    }
  }
  return refused;
}

PropertyLoss LossTable::MakeLoss(RequestProperty property, const Entry& entry,
                                 Time now) const {
  PropertyLoss loss;
  loss.property = property;
  loss.trial_age_ms = ToMs(now - entry.tried_at);
  loss.trials = entry.trials;
  for (const auto& [target, lost] : entry.targets) {
    loss.runs.push_back({target, ToMs(now - lost.lost_at),
                         ToMs(lost.lost_at - lost.sent_at), lost.request,
                         lost.place, lost.is_silent});
  }
  return loss;
}

LossReport LossTable::MakeReport(Time since, Time now) const {
  std::vector<std::pair<Time, RequestProperty>> latest;
  for (const auto& [property, entry] : entries_) {
    if (entry.changed_at >= since && !IsForgotten(entry, now)) {
      latest.emplace_back(entry.tried_at, property);
    }
  }
  const std::size_t n = std::min(latest.size(), kMaxReported);
  std::partial_sort(latest.begin(),
                    latest.begin() + static_cast<std::ptrdiff_t>(n),
                    latest.end(), std::greater<>());
  latest.resize(n);
  LossReport report;
  for (const auto& [tried_at, property] : latest) {
    report.losses.push_back(MakeLoss(property, entries_.at(property), now));
  }
  for (const auto& [target, sighting] : alive_) {
    if (report.alive.size() < kMaxReported && sighting.seen_at >= since) {
      report.alive.push_back({target, ToMs(now - sighting.at)});
    }
  }
  for (const auto& [property, sighting] : reported_answers_) {
    if (report.answers.size() < kMaxReported && sighting.seen_at >= since) {
      report.answers.push_back({property, ToMs(now - sighting.at)});
    }
  }
  return report;
}

int LossTable::RefusedCount() const {
  return static_cast<int>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& item) { return item.second.is_refused; }));
}

void LossTable::Expire(Time now) {
  std::vector<RequestProperty> forgotten;
  for (const auto& [property, entry] : entries_) {
    if (IsForgotten(entry, now)) {
      forgotten.push_back(property);
    }
  }
  for (const RequestProperty& property : forgotten) {
    Erase(property);
  }
  const auto is_old = [&](const auto& item) {
    return now >= item.second + options_.refusal_time;
  };
  const auto is_old_sighting = [&](const auto& item) {
    return now >= item.second.at + options_.refusal_time;
  };
  std::erase_if(reported_answers_, [&](const auto& item) {
    return now >= std::max(item.second.at, item.second.heard_at) +
                      options_.refusal_time;
  });
  std::erase_if(alive_, is_old_sighting);
  std::erase_if(recently_lost_, is_old);
  std::erase_if(heard_, is_old);
  std::erase_if(silent_, [this](std::uint32_t target) {
    return !lost_targets_.contains(target);
  });
  combinations_.Expire(now - options_.refusal_time);
  open_runs_.Expire(now);
  answered_.Expire(options_.refusal_time, now);
}

bool LossTable::HasRival(RequestProperty property, const Entry& entry,
                         Time now) const {
  // The smallest of the sets keeps the search short.
  const LostTarget* fewest = nullptr;
  for (const auto& [target, loss] : entry.targets) {
    const LostTarget& lost = lost_targets_.at(target);
    if (fewest == nullptr ||
        lost.properties.size() < fewest->properties.size()) {
      fewest = &lost;
    }
  }
  const bool is_content = property.Kind() == PropertyKind::kContent;
  return std::any_of(
      fewest->properties.begin(), fewest->properties.end(),
      [&](const auto& item) {
        const auto& [other, other_entry] = item;
        if (other == property || other.Kind() != property.Kind() ||
            other_entry->targets.size() < entry.targets.size() ||
            (!is_content && IsTrusted(other, now))) {
          return false;
        }
        bool is_in_other_request = false;
        for (const auto& [target, loss] : entry.targets) {
          const auto it = other_entry->targets.find(target);
          if (it == other_entry->targets.end()) {
            return false;
          }
          is_in_other_request |= it->second.request != loss.request;
        }
        return is_content || is_in_other_request;
      });
}

bool LossTable::IsExplainedFor(RequestProperty property, const Entry& entry,
                               std::uint32_t target) const {
  const auto& refused = lost_targets_.at(target).refused;
  const std::size_t losses = entry.targets.size();
  const auto kind = static_cast<std::size_t>(property.Kind());
  for (std::size_t other = 0; other < refused.size(); ++other) {
    const auto& by_losses = refused[other];
    if (std::any_of(by_losses.begin() + static_cast<std::ptrdiff_t>(losses) + 1,
                    by_losses.end(), [](int count) { return count > 0; })) {
      return true;
    }
    // Among equals, the more specific property explains the others. Of one
    // kind, the one that was refused first does, but for contents.
    const int self = other == kind && entry.is_refused ? 1 : 0;
    const bool may_explain =
        other < kind ||
        (other == kind && property.Kind() != PropertyKind::kContent &&
         !entry.is_refused);
    if (may_explain && by_losses[losses] - self > 0) {
      return true;
    }
  }
  return false;
}

int LossTable::Evidence(RequestProperty property, const Entry& entry) const {
  std::vector<std::pair<Time, Time>> runs;  // by the time of the loss
  for (const auto& [target, loss] : entry.targets) {
    if (!IsExplainedFor(property, entry, target)) {
      runs.emplace_back(loss.lost_at, loss.sent_at);
    }
  }
  if (property.Kind() == PropertyKind::kContent) {
    return static_cast<int>(runs.size());
  }
  std::sort(runs.begin(), runs.end());
  int in_sequence = 0;
  Time last = kNeverSeen;
  for (const auto& [lost_at, sent_at] : runs) {
    if (sent_at >= last) {
      ++in_sequence;
      last = lost_at;
    }
  }
  return in_sequence;
}

void LossTable::AddLatestAnswer(Time began_at) {
  const auto it =
      std::min_element(latest_answers_.begin(), latest_answers_.end());
  *it = std::max(*it, began_at);
}

// A property that has a loss was not answered since, so that later answers are
// those of requests without it.
bool LossTable::HasContrast(const Entry& entry) const {
  const Time first_answer =
      *std::min_element(latest_answers_.begin(), latest_answers_.end());
  return std::any_of(entry.targets.begin(), entry.targets.end(),
                     [first_answer](const auto& item) {
                       return item.second.lost_at < first_answer;
                     });
}

bool LossTable::IsAtLimit(RequestProperty property, const Entry& entry,
                          Time now) const {
  const int evidence = Evidence(property, entry);
  if (evidence < options_.limit) {
    return false;
  }
  int limit =
      options_.limit + (IsBroad(property.Kind()) ? kExtraLossesIfBroad : 0);
  if (IsTrusted(property, now)) {
    limit += property.Kind() == PropertyKind::kContent
                 ? kExtraLossesOfTrustedContent
                 : kExtraLossesIfTrusted;
  }
  if (IsBroad(property.Kind()) && !HasContrast(entry)) {
    limit += kExtraLossesWithoutContrast;
  }
  return evidence > limit ||
         (evidence == limit && !HasRival(property, entry, now));
}

void LossTable::SetRefused(RequestProperty property, bool is_refused,
                           Entry* entry) {
  CountRefused(property, *entry, -1);
  entry->is_refused = is_refused;
  CountRefused(property, *entry, 1);
}

void LossTable::CountRefused(RequestProperty property, const Entry& entry,
                             int sign) {
  if (!entry.is_refused) {
    return;
  }
  for (const auto& [target, loss] : entry.targets) {
    std::uint16_t& count =
        lost_targets_.at(target).refused[static_cast<std::size_t>(
            property.Kind())][entry.targets.size()];
    count = static_cast<std::uint16_t>(count + sign);
  }
}

Duration LossTable::RefusalTime(const Entry& entry) const {
  if (entry.trials == 0) {
    return options_.refusal_time / kFirstTrialDivisor;
  }
  if (entry.trials < kQuickTrials) {
    return options_.refusal_time * (1 << (entry.trials - 1));
  }
  return options_.refusal_time * kMemoryFactor *
         (1 << std::min(entry.trials - kQuickTrials, kMaxDoublings));
}

bool LossTable::IsForgotten(const Entry& entry, Time now) const {
  return now >= entry.tried_at + std::max(options_.refusal_time * kMemoryFactor,
                                          RefusalTime(entry) * 2);
}

LossTable::Entry* LossTable::FindOrAdd(RequestProperty property, Time now) {
  const auto known = entries_.find(property);
  if (known != entries_.end()) {
    return &known->second;
  }
  if (entries_.size() >= kMaxEntries) {
    std::vector<std::tuple<bool, Time, RequestProperty>> oldest;
    oldest.reserve(entries_.size());
    for (const auto& [other, entry] : entries_) {
      oldest.emplace_back(entry.is_refused, entry.tried_at, other);
    }
    constexpr std::ptrdiff_t kEvicted = kMaxEntries / kEvictionDivisor;
    std::nth_element(oldest.begin(), oldest.begin() + kEvicted, oldest.end());
    for (auto it = oldest.begin(); it != oldest.begin() + kEvicted; ++it) {
      Erase(std::get<RequestProperty>(*it));
    }
  }
  Entry& entry = entries_[property];
  entry.known_at = now;
  CountCombination(property, 1);
  return &entry;
}

void LossTable::CountCombination(RequestProperty property, int sign) {
  pair_count_ += property.Kind() == PropertyKind::kPair ? sign : 0;
  triple_count_ += property.Kind() == PropertyKind::kTriple ? sign : 0;
}

void LossTable::Erase(RequestProperty property) {
  const auto it = entries_.find(property);
  CountRefused(property, it->second, -1);
  for (const auto& [target, loss] : it->second.targets) {
    const auto lost = lost_targets_.find(target);
    lost->second.properties.erase(property);
    if (lost->second.properties.empty()) {
      lost_targets_.erase(lost);
    }
  }
  entries_.erase(it);
  CountCombination(property, -1);
}

bool LossTable::AddTarget(RequestProperty property, std::uint32_t target,
                          const Loss& loss, Entry* entry) {
  const bool is_first_loss = !lost_targets_.contains(target);
  Time& latest = recently_lost_[target];
  latest = std::max(latest, loss.lost_at);
  if (!loss.is_silent) {
    silent_.erase(target);
  } else if (is_first_loss) {
    silent_.insert(target);
  }
  const auto known = entry->targets.find(target);
  if (known != entry->targets.end()) {
    if (loss.sent_at > known->second.sent_at) {
      known->second.sent_at = loss.sent_at;
      known->second.request = loss.request;
    }
    known->second.lost_at = std::max(known->second.lost_at, loss.lost_at);
    known->second.is_silent = known->second.is_silent && loss.is_silent;
    return false;
  }
  if (entry->targets.size() >= kMaxTargetsPerProperty) {
    const std::optional<std::uint32_t> spare = SpareTarget(property, *entry);
    if (!spare.has_value()) {
      return false;
    }
    RemoveTarget(property, *spare, entry);
  }
  CountRefused(property, *entry, -1);
  entry->targets.emplace(target, loss);
  lost_targets_[target].properties[property] = entry;
  CountRefused(property, *entry, 1);
  return true;
}

// The oldest loss that doesn't add to the losses in sequence.
std::optional<std::uint32_t> LossTable::SpareTarget(RequestProperty property,
                                                    const Entry& entry) {
  if (property.Kind() == PropertyKind::kContent) {
    return std::nullopt;
  }
  std::vector<std::pair<Loss, std::uint32_t>> losses;
  for (const auto& [target, loss] : entry.targets) {
    losses.emplace_back(loss, target);
  }
  std::sort(losses.begin(), losses.end(), [](const auto& a, const auto& b) {
    return a.first.lost_at < b.first.lost_at;
  });
  Time last = kNeverSeen;
  for (const auto& [loss, target] : losses) {
    if (loss.sent_at < last) {
      return target;
    }
    last = loss.lost_at;
  }
  return std::nullopt;
}

void LossTable::RemoveTarget(RequestProperty property, std::uint32_t target,
                             Entry* entry) {
  CountRefused(property, *entry, -1);
  entry->targets.erase(target);
  const auto lost = lost_targets_.find(target);
  lost->second.properties.erase(property);
  if (lost->second.properties.empty()) {
    lost_targets_.erase(lost);
  }
  CountRefused(property, *entry, 1);
}

bool LossTable::WasAlive(std::uint32_t target, const Loss& loss) const {
  const auto it = alive_.find(target);
  return it != alive_.end() && IsDisproved(loss, it->second.at);
}

bool LossTable::IsDisproved(const Loss& loss, Time at) {
  return loss.lost_at <= at &&
         (loss.is_silent || at - loss.lost_at < OpenRuns::kMinRestartTime);
}

bool LossTable::DropLossesOf(std::uint32_t target, Time at) {
  const auto lost = lost_targets_.find(target);
  if (lost == lost_targets_.end()) {
    return false;
  }
  bool any = false;
  const std::map<RequestProperty, Entry*> properties = lost->second.properties;
  for (const auto& [property, entry] : properties) {
    if (!IsDisproved(entry->targets.at(target), at)) {
      continue;
    }
    any = true;
    if (entry->targets.size() == 1 && !entry->is_restored) {
      Erase(property);
      continue;
    }
    RemoveTarget(property, target, entry);
    if (!entry->targets.empty()) {
      UpdateRefusals({entry->targets.begin()->first}, at);
    }
  }
  return any;
}

bool LossTable::DropLossesUntil(RequestProperty property, Time at) {
  const auto it = entries_.find(property);
  if (it == entries_.end()) {
    return false;
  }
  Entry& entry = it->second;
  std::vector<std::uint32_t> dropped;
  std::vector<std::uint32_t> affected;
  for (const auto& [target, loss] : entry.targets) {
    affected.push_back(target);
    if (loss.lost_at <= at) {
      dropped.push_back(target);
    }
  }
  const bool ends_restored = entry.is_restored && entry.known_at <= at;
  if (dropped.empty() && !ends_restored) {
    return false;
  }
  entry.is_restored = entry.is_restored && !ends_restored;
  if (dropped.size() == entry.targets.size() && !entry.is_restored) {
    Erase(property);
  } else {
    for (const std::uint32_t target : dropped) {
      RemoveTarget(property, target, &entry);
    }
  }
  UpdateRefusals(affected, at);
  return true;
}

void LossTable::DecideOnLosses(const std::vector<RequestProperty>& properties,
                               std::uint32_t target, Time now) {
  // A loss adds evidence against the request's own properties only, but may be
  // a rival's that clears others.
  std::vector<Candidate> candidates;
  for (const RequestProperty& property : properties) {
    const auto it = entries_.find(property);
    if (it != entries_.end()) {
      candidates.emplace_back(property, &it->second);
    }
  }
  std::vector<Candidate> refused;
  const auto lost = lost_targets_.find(target);
  if (lost != lost_targets_.end()) {
    for (const auto& [property, entry] : lost->second.properties) {
      if (entry->is_refused) {
        refused.emplace_back(property, entry);
      }
    }
  }
  if (Decide(std::move(candidates), std::move(refused), now)) {
    UpdateRefusals({target}, now);
  }
}

void LossTable::UpdateRefusals(const std::vector<std::uint32_t>& targets,
                               Time now) {
  std::vector<Candidate> candidates;
  std::vector<Candidate> refused;
  for (const std::uint32_t target : targets) {
    const auto lost = lost_targets_.find(target);
    if (lost == lost_targets_.end()) {
      continue;
    }
    for (const auto& [property, entry] : lost->second.properties) {
      (entry->is_refused ? refused : candidates).emplace_back(property, entry);
    }
  }
  Decide(std::move(candidates), std::move(refused), now);
}

bool LossTable::Decide(std::vector<Candidate> candidates,
                       std::vector<Candidate> refused, Time now) {
  // Most properties beside a cause have one loss.
  std::erase_if(candidates, [this](const Candidate& item) {
    return item.second->is_refused ||
           static_cast<int>(item.second->targets.size()) < options_.limit;
  });
  const auto is_likelier = [&](const Candidate& a, const Candidate& b) {
    const auto key = [&](const Candidate& item) {
      // Prompts share their beginning, so a later part is in fewer of them.
      return std::tuple(
          IsTrusted(item.first, now),
          -static_cast<int>(item.second->targets.size()), item.first.Kind(),
          -item.second->targets.begin()->second.place, item.first);
    };
    return key(a) < key(b);
  };
  std::sort(candidates.begin(), candidates.end(), is_likelier);
  bool changed = false;
  for (const auto& [property, entry] : candidates) {
    if (!entry->is_refused && IsAtLimit(property, *entry, now)) {
      SetRefused(property, true, entry);
      newly_refused_.push_back(property);
      refused.emplace_back(property, entry);
      changed = true;
    }
  }
  for (const auto& [property, entry] : refused) {
    if (entry->is_refused && !entry->is_restored &&
        !IsAtLimit(property, *entry, now)) {
      SetRefused(property, false, entry);
      std::erase(newly_refused_, property);
      changed = true;
    }
  }
  return changed;
}

}  // namespace hornbeamcleat
