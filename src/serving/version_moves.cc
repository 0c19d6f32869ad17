#include "src/serving/version_moves.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <utility>

#include "src/move/change_mixture.h"
#include "src/move/evidence_limits.h"
#include "src/move/rejection_test.h"

namespace hornbeamcleat {
namespace {

constexpr double kPermille = 1'000;
/// Minimum fraction of the move's duration spent at the canary share.
constexpr double kMinCanaryFraction = 0.5;
/// Maximum fraction of the exposure limit that the canary phase may use, and,
/// within it, the requests that it may use whatever the later steps need: less
/// would give no evidence.
constexpr double kCanaryExposureShare = 0.75;
constexpr double kMinCanaryRequests = 40;
constexpr int kMinPermille = 5;
constexpr int kMaxCanaryPermille = 150;
/// Requests that the canary may use at its maximum share.
constexpr double kEarlyRequests = 100;
/// Minimum fraction of the duration that a share is planned for.
constexpr double kMinPlannedFraction = 0.05;
/// Divides the canary share of a version under suspicion that has used up its
/// exposure.
constexpr int kWatchDivisor = 4;
/// Fraction of the duration for which few targets get their full load.
constexpr double kLoadStepFraction = 0.12;
constexpr Duration kMaxLoadStepTime = std::chrono::seconds(3);
/// Targets of the load step, as a fraction of all of the new version, and its
/// share of traffic if there is one target only.
constexpr int kLoadStepDivisor = 4;
constexpr int kSingleTargetPermille = 300;
/// Time from a version's first bad answers until no VM sends to it any more:
/// some tens of answers, a decision and its record.
constexpr Duration kReactionTime = std::chrono::milliseconds(800);
/// Fraction of the exposure share after which, with half of the slack, a
/// version under suspicion gets only a part of the canary share.
constexpr double kSuspectExposureShare = 0.8;
/// Maximum fraction of the duration from the full share to the completion.
constexpr double kMaxHandoverFraction = 0.26;
/// Time in which VMs learn of the last requests at old targets.
constexpr Duration kLoadReportTime = std::chrono::milliseconds(500);
/// Fraction of the duration by which the full share may be late.
constexpr double kMaxFullShareDelay = 0.14;
/// Minimum time between two evaluations without new faults. LatencyTest bounds
/// the deviation of an interval's mean, which must not be that of one answer.
constexpr Duration kJudgePeriod = std::chrono::milliseconds(250);
/// Fraction of the duration after which a version without the full share that
/// is more likely slow than as fast is rolled back without proof.
/// Targets of unlike speed spread the times so much that proof can take longer
/// than the move.
constexpr double kSlowRollBackFraction = 0.6;
/// Answers from which this holds. With fewer, a version that is more likely
/// slow only keeps its share.
constexpr std::uint64_t kMinSlowAnswers = 30;
/// A version that is more likely slow is also rolled back after this fraction
/// of the time that is allowed for it. The rest is for reports of VMs in other
/// failure domains, decisions and the record.
constexpr double kDoubtShare = 0.6;
/// Likewise, a version that has not been convincingly as fast for so long.
constexpr double kUnclearShare = 0.9;
/// Answers of a version from which that time counts.
constexpr std::uint64_t kDoubtfulAnswers = 50;
/// Fraction of the duration after which a move completes even if old targets
/// still run requests, to meet its deadline.
constexpr double kForcedCompletionFraction = 0.92;
/// Idle time of the old targets before a move completes. Peers report their
/// load within less time.
constexpr Duration kMinIdleTime = std::chrono::milliseconds(700);
/// Minimum answers of the new version before its share grows, and at full share
/// before the move completes.
constexpr std::uint64_t kMinAnswers = 10;
constexpr std::uint64_t kMinFullShareAnswers = 30;
/// The versions in place are failing from this fault ratio on, if it is this
/// multiple of the new version's. Then the new version gets all traffic at
/// once.
constexpr double kFailingRatio = 0.2;
constexpr double kFailingFactor = 4;
constexpr double kMinFailingAnswers = 30;
/// Answers after which a version must have been convincingly as fast again.
constexpr std::uint64_t kMaxUnclearAnswers = 20;
/// Excess fault ratio over the other versions, and ratio of times to the first
/// event, above which a version is bad. Moves that take seconds yield some tens
/// of answers, which cannot resolve smaller differences.
constexpr double kMaxFaultRatio = 0.05;
constexpr double kMaxSlowness = 3;
/// Minimum slots of the new version relative to the old ones before its share
/// grows.
constexpr double kMinSlotRatio = 0.5;
/// Evidence key for all versions except the new one.
constexpr char kOldVersions[] = "";
constexpr char kAllRoutes[] = "";

/// Lower bound of measured pauses; shorter ones are the time of a read.
constexpr Duration kMinPause = std::chrono::milliseconds(1);

// Sets when a condition that still holds began to.
void SetSince(bool holds, Time now, std::optional<Time>* since) {
  if (!holds) {
    since->reset();
  } else if (!since->has_value()) {
    *since = now;
  }
}

bool HasLasted(const std::optional<Time>& since, double seconds, Time now) {
  return since.has_value() && now - *since >= FromSeconds(seconds);
}

bool IsFinal(const std::optional<MoveRecord>& record) {
  return record.has_value() && record->outcome != MoveOutcome::kInProgress;
}

/// Time within which a request that crashes targets is usually found out.
constexpr Duration kLossExplanationTime = std::chrono::seconds(1);
/// Answers that wait for an explanation; further ones count at once.
constexpr std::size_t kMaxLostAnswers = 4'096;

// Evidence key of a move. Includes the version, so that evidence of earlier
// orders of the service does not count.
std::string EvidenceKey(const std::string& service,
                        const std::string& version) {
  return service + "/" + version;
}

MoveSpec JudgeSpec(const MoveOrder& order) {
  MoveSpec spec;
  spec.model = EvidenceKey(order.service, order.version);
  spec.from_version = kOldVersions;
  spec.to_version = order.version;
  spec.max_fault_ratio = kMaxFaultRatio;
  spec.max_latency_ratio = kMaxSlowness;
  return spec;
}

}  // namespace

struct VersionMoves::Move {
  explicit Move(const MoveOrder& move_order)
      : order(move_order), judge(JudgeSpec(move_order)) {}

  double ElapsedFraction(Time now) const {
    return ToSeconds(now - started) / std::max(0.001, ToSeconds(order.time));
  }

  const MoveOrder order;
  std::optional<MoveRecord> record;
  VersionAnalyzer judge;
  /// Keyed by route; that of all routes has an empty key.
  std::map<std::string, RejectionTest> rejections;
  VersionAssessment verdict;
  std::optional<Time> start_point;
  Time started;  ///< on this VM's steady clock
  std::optional<Time> idle_since;
  /// Since when the version is more likely slow, with enough answers, and since
  /// when it is not convincingly as fast.
  std::optional<Time> doubtful_since;
  std::optional<Time> unclear_since;
  std::optional<Time> full_due_since;  ///< the full share
  bool is_followed = false;            ///< this VM has evaluated it before
  bool is_rolling_back = false;
  VersionShare share;
  /// Number of answers with which it was last convincingly as fast.
  std::optional<std::uint64_t> cleared_answers;
  std::uint64_t answers_before_full_share = 0;
  std::optional<Time> judged_at;
  std::uint64_t judged_bad_answers = 0;  ///< of the new version at that time
};

VersionMoves::VersionMoves(const Options& options)
    : options_(options), evidence_(EvidenceTable::Make()) {}

VersionMoves::~VersionMoves() = default;

void VersionMoves::SetMoves(const std::vector<MoveOrder>& orders,
                            const std::vector<MoveRecord>& records, Time now,
                            WallTime wall_now) {
  std::map<std::string, std::unique_ptr<Move>> next;
  for (const MoveOrder& order : orders) {
    const auto known = moves_.find(order.service);
    if (known != moves_.end() && known->second->order == order) {
      next[order.service] = std::move(known->second);
    } else {
      next[order.service] = std::make_unique<Move>(order);
    }
  }
  moves_ = std::move(next);
  for (const MoveRecord& record : records) {
    const auto it = moves_.find(record.service);
    if (it == moves_.end() || it->second->order.version != record.version) {
      continue;
    }
    Move& move = *it->second;
    if (!move.record.has_value()) {
      // Converted to the steady clock only once, since the wall clock may jump
      // later.
      const Duration age = std::clamp<Duration>(
          wall_now - record.started, Duration(0), 2 * move.order.time);
      move.started = now - age;
    }
    move.record = record;
  }
  std::erase_if(counts_, [this](const auto& item) {
    const auto it = moves_.find(item.second.service);
    return it == moves_.end() ||
           it->second->order.version != item.second.version;
  });
  std::erase_if(pauses_, [this](const auto& item) {
    return !IsMoving(item.first.first);
  });
}

bool VersionMoves::IsAnyMoving() const {
  return std::any_of(moves_.begin(), moves_.end(), [](const auto& item) {
    return !IsFinal(item.second->record);
  });
}

bool VersionMoves::IsMoving(const std::string& service) const {
  const auto it = moves_.find(service);
  return it != moves_.end() && !IsFinal(it->second->record);
}

std::vector<MoveOrder> VersionMoves::Orders() const {
  std::vector<MoveOrder> orders;
  for (const auto& [service, move] : moves_) {
    orders.push_back(move->order);
  }
  return orders;
}

double VersionMoves::NewShare(const std::string& service) const {
  const auto it = moves_.find(service);
  return it == moves_.end() ? 0 : it->second->share.share_permille / kPermille;
}

VersionCounts* VersionMoves::Counter(const std::string& service,
                                     const std::string& route,
                                     const std::string& version) {
  if (!IsMoving(service)) {
    return nullptr;
  }
  const std::string& new_version = moves_[service]->order.version;
  const bool is_new = new_version == version;
  VersionCounts& counts = counts_[{service, new_version, route, is_new}];
  counts.service = service;
  counts.version = new_version;
  counts.route = route;
  counts.is_new = is_new;
  return &counts;
}

void VersionMoves::OnSent(const std::string& service, const std::string& route,
                          const std::string& version) {
  VersionCounts* const counts = Counter(service, route, version);
  if (counts != nullptr) {
    ++counts->sent;
  }
}

void VersionMoves::OnHeld(const std::string& service, const std::string& route,
                          const std::string& version, Duration time) {
  VersionCounts* const counts = Counter(service, route, version);
  if (counts != nullptr) {
    counts->longest_seconds =
        std::max(counts->longest_seconds, static_cast<float>(ToSeconds(time)));
  }
}

void VersionMoves::OnAnswered(const std::string& service,
                              const std::string& route,
                              const std::string& version, double slowness) {
  VersionCounts* const counts = Counter(service, route, version);
  if (counts != nullptr && slowness > 0) {
    const float log = static_cast<float>(std::log(slowness));
    ++counts->done;
    counts->slowness_log_sum += log;
    counts->slowness_log_square_sum += log * log;
  }
}

void VersionMoves::OnPauses(const std::string& service,
                            const std::string& route,
                            const std::string& version, Duration longest) {
  VersionCounts* const counts = Counter(service, route, version);
  if (counts == nullptr) {
    return;
  }
  const float log =
      static_cast<float>(std::log(ToSeconds(std::max(kMinPause, longest))));
  ++counts->streams;
  counts->pause_log_sum += log;
  counts->pause_log_square_sum += log * log;
  if (!counts->is_new) {
    pauses_[{service, route}].Add(longest);
  }
}

std::optional<Duration> VersionMoves::StallLimit(
    const std::string& service, const std::string& route) const {
  const auto it = pauses_.find({service, route});
  return it == pauses_.end() ? std::nullopt : it->second.StallLimit();
}

void VersionMoves::OnRejected(const std::string& service,
                              const std::string& route,
                              const std::string& version, double share) {
  VersionCounts* const counts = Counter(service, route, version);
  if (counts == nullptr) {
    return;
  }
  ++counts->rejected;
  const RejectionTest::LogRatios ratios =
      RejectionTest::RatiosOf(counts->is_new, share);
  for (std::size_t n = 0; n < ratios.size(); ++n) {
    counts->rejection_log_ratios[n] += ratios[n];
  }
}

void VersionMoves::OnFailed(const std::string& service,
                            const std::string& route,
                            const std::string& version) {
  VersionCounts* const counts = Counter(service, route, version);
  if (counts != nullptr) {
    ++counts->faults;
  }
}

void VersionMoves::OnLost(const std::string& service, const std::string& route,
                          const std::string& version, std::uint32_t target,
                          Time now) {
  if (!IsMoving(service)) {
    return;
  }
  if (lost_answers_.size() >= kMaxLostAnswers) {
    OnFailed(service, route, version);
    return;
  }
  lost_answers_.push_back({service, route, version, target, now});
}

void VersionMoves::CountLost(
    const std::function<bool(std::uint32_t)>& is_explained, Time now) {
  while (!lost_answers_.empty() &&
         now - lost_answers_.front().lost_at >= kLossExplanationTime) {
    const LostAnswer lost = std::move(lost_answers_.front());
    lost_answers_.pop_front();
    if (!is_explained(lost.target)) {
      OnFailed(lost.service, lost.route, lost.version);
    }
  }
}

std::vector<VersionCounts> VersionMoves::Counts() const {
  std::vector<VersionCounts> counts;
  for (const auto& [key, item] : counts_) {
    if (IsMoving(item.service)) {
      counts.push_back(item);
    }
  }
  return counts;
}

void VersionMoves::SetPeerCounts(const std::string& peer,
                                 std::uint64_t incarnation,
                                 const std::vector<VersionCounts>& counts) {
  std::vector<VersionEvidence> evidence;
  // Incarnations are random and not ordered, so each gets its own entry.
  const std::string entry = fmt::format("{}#{:x}", peer, incarnation);
  if (!counts.empty()) {
    reported_[entry] = counts;
  }
  for (const VersionCounts& item : counts) {
    const auto move = moves_.find(item.service);
    if (move == moves_.end() || move->second->order.version != item.version) {
      continue;
    }
    VersionEvidence sums;
    sums.model = EvidenceKey(item.service, item.version);
    sums.version = item.is_new ? item.version : kOldVersions;
    sums.application = item.route;
    sums.done = item.done;
    sums.faults = item.faults;
    sums.first_part_log_sum = item.slowness_log_sum;
    sums.first_part_log_square_sum = item.slowness_log_square_sum;
    sums.gaps = item.streams;
    sums.gap_log_sum = item.pause_log_sum;
    sums.gap_log_square_sum = item.pause_log_square_sum;
    evidence.push_back(sums);
  }
  if (!evidence.empty()) {
    evidence_->Report(entry, 1, evidence);
  }
}

bool VersionMoves::Traffic::AreOldVersionsFailing() const {
  return std::min(new_answers, old_answers) >= kMinFailingAnswers &&
         old_faults >= kFailingRatio * old_answers &&
         old_faults * new_answers >= kFailingFactor * new_faults * old_answers;
}

double VersionMoves::Traffic::Expected(double fraction) const {
  return total / std::max(kMinPlannedFraction, fraction);
}

VersionMoves::Traffic VersionMoves::TrafficOf(const MoveOrder& order) const {
  Traffic traffic;
  for (const auto& [entry, counts] : reported_) {
    for (const VersionCounts& item : counts) {
      if (item.service != order.service || item.version != order.version) {
        continue;
      }
      const double n =
          std::max(item.sent, item.done + item.faults + item.rejected);
      traffic.total += n;
      (item.is_new ? traffic.new_answers : traffic.old_answers) +=
          item.done + item.faults;
      (item.is_new ? traffic.new_faults : traffic.old_faults) += item.faults;
      if (item.is_new) {
        traffic.given += n;
        traffic.bad_answers += item.faults + item.rejected;
      } else {
        traffic.has_ended =
            traffic.has_ended || item.done + item.faults + item.rejected > 0;
        traffic.longest =
            std::max(traffic.longest, FromSeconds(item.longest_seconds));
      }
    }
  }
  return traffic;
}

// The full share lasts as long as the last requests at old targets are expected
// to take and VMs need to learn of their end, so that a version that turns bad
// late gets few requests.
VersionMoves::Schedule VersionMoves::ScheduleOf(const MoveOrder& order,
                                                const Traffic& traffic) {
  double handover = kMaxHandoverFraction;
  if (traffic.has_ended) {
    handover = std::min(
        handover, ToSeconds(traffic.longest + kMinIdleTime + kLoadReportTime) /
                      ToSeconds(order.time));
  }
  Schedule schedule;
  schedule.full = kForcedCompletionFraction - handover;
  schedule.load_step = std::max(
      kMinCanaryFraction,
      schedule.full - std::min(kLoadStepFraction, ToSeconds(kMaxLoadStepTime) /
                                                      ToSeconds(order.time)));
  schedule.max_delay = std::min(kMaxFullShareDelay, handover / 2);
  return schedule;
}

void VersionMoves::Judge(Move* move, std::uint64_t bad_answers, Time now,
                         WallTime wall_now) {
  if (move->judged_at.has_value() && now - *move->judged_at < kJudgePeriod &&
      bad_answers == move->judged_bad_answers) {
    return;
  }
  move->judged_at = now;
  move->judged_bad_answers = bad_answers;
  const Duration spacing = move->order.time / ChangeMixture::kMaxStartPoints;
  const bool start_point =
      !move->start_point.has_value() || now - *move->start_point >= spacing;
  if (start_point) {
    move->start_point = now;
  }
  move->verdict = move->judge.Update(
      evidence_->Merged(EvidenceKey(move->order.service, move->order.version)),
      wall_now, start_point);
  JudgeRejections(start_point, move);
}

void VersionMoves::JudgeRejections(bool start_point, Move* move) const {
  std::map<std::string, RejectionTest::LogRatios> sums;
  for (const auto& [entry, counts] : reported_) {
    for (const VersionCounts& item : counts) {
      if (item.service != move->order.service ||
          item.version != move->order.version) {
        continue;
      }
      for (const std::string& route : {item.route, std::string(kAllRoutes)}) {
        RejectionTest::LogRatios& sum = sums[route];
        for (std::size_t n = 0; n < sum.size(); ++n) {
          sum[n] += item.rejection_log_ratios[n];
        }
      }
      if (item.is_new) {
        move->verdict.ends += item.rejected;
      }
    }
  }
  const double threshold =
      std::log(static_cast<double>(sums.size()) / kFalsePositiveRate);
  for (const auto& [route, sum] : sums) {
    RejectionTest& test = move->rejections[route];
    if (start_point) {
      test.AddStartPoint();
    }
    test.Update(sum);
    move->verdict.suspect =
        move->verdict.suspect || test.LogEValue() >= kLogSuspect;
    if (!move->verdict.bad && test.LogEValue() >= threshold) {
      move->verdict.bad = true;
      move->verdict.reason =
          route == kAllRoutes
              ? "it rejects more requests than the old version"
              : "it rejects more requests than the old version on route " +
                    route;
    }
  }
}

// A fault that appears at full share costs all requests of the reaction time,
// one that appears in the load step a part of them. The canary may use what the
// limit leaves: some of it at once, since most faults show early, and the rest
// evenly.
int VersionMoves::CanaryPermille(const MoveOrder& order,
                                 const Schedule& schedule,
                                 const Traffic& traffic,
                                 double fraction) const {
  const double expected = traffic.Expected(fraction);
  const double limit =
      options_.exposure_share * expected + options_.exposure_slack;
  const double reaction =
      expected * ToSeconds(kReactionTime) / ToSeconds(order.time);
  const double load_step =
      expected * (schedule.full - schedule.load_step) / kLoadStepDivisor;
  const double requests =
      std::min(std::max(limit - reaction - load_step, kMinCanaryRequests),
               kCanaryExposureShare * options_.exposure_share * expected);
  if (traffic.given < std::min(kEarlyRequests, requests / 2)) {
    return kMaxCanaryPermille;
  }
  const double left = std::max(0.0, requests - traffic.given);
  const double fraction_left =
      std::max(kMinPlannedFraction, schedule.load_step - fraction);
  return std::clamp(static_cast<int>(kPermille * left /
                                     std::max(1.0, expected * fraction_left)),
                    kMinPermille, kMaxCanaryPermille);
}

VersionShare VersionMoves::NextShare(const Move& move,
                                     const SideCapacity& sides,
                                     const Schedule& schedule,
                                     const Traffic& traffic,
                                     double fraction) const {
  VersionShare canary;
  canary.share_permille =
      CanaryPermille(move.order, schedule, traffic, fraction);
  VersionShare watch = canary;
  watch.share_permille =
      std::max(kMinPermille, canary.share_permille / kWatchDivisor);
  // The load step gathers the answers that are missing for the full share.
  const bool is_cleared =
      move.cleared_answers.has_value() &&
      move.verdict.ends - *move.cleared_answers <= kMaxUnclearAnswers;
  const bool is_unclear =
      move.verdict.slower || (fraction >= schedule.full && !is_cleared);
  const bool keeps_share = move.verdict.suspect || is_unclear ||
                           move.verdict.ends < kMinAnswers ||
                           sides.new_slots - sides.new_resting_slots <
                               kMinSlotRatio * sides.old_slots;
  if (keeps_share) {
    if (move.share.share_permille < kPermille &&
        traffic.given >= kSuspectExposureShare * options_.exposure_share *
                                 traffic.Expected(fraction) +
                             options_.exposure_slack / 2) {
      return watch;
    }
    // Staying at this share gathers the answers that confirm or clear the
    // suspicion fastest.
    return move.share.share_permille > canary.share_permille ? move.share
                                                             : canary;
  }
  VersionShare share;
  if (fraction >= schedule.full || traffic.AreOldVersionsFailing()) {
    share.share_permille = static_cast<int>(kPermille);
  } else if (fraction < schedule.load_step) {
    share = canary;
  } else if (sides.new_targets <= 1) {
    share.share_permille = kSingleTargetPermille;
  } else {
    share.max_targets = std::max(1, sides.new_targets / kLoadStepDivisor);
    share.share_permille =
        static_cast<int>(kPermille) * share.max_targets / sides.new_targets;
  }
  return share;
}

bool VersionMoves::IsDoubtful(double fraction, Time now, Move* move) const {
  const VersionAssessment& verdict = move->verdict;
  const bool has_answers = verdict.ends >= kDoubtfulAnswers;
  SetSince(has_answers && verdict.slower, now, &move->doubtful_since);
  SetSince(has_answers && !verdict.as_fast, now, &move->unclear_since);
  const double limit = ToSeconds(options_.rollback_limit);
  return (verdict.slower && fraction >= kSlowRollBackFraction &&
          verdict.ends >= kMinSlowAnswers) ||
         HasLasted(move->doubtful_since, kDoubtShare * limit, now) ||
         HasLasted(move->unclear_since, kUnclearShare * limit, now);
}

void VersionMoves::Step(Move* move, const SideCapacity& sides, bool is_leader,
                        Time now, WallTime wall_now, Decisions* out) {
  const MoveOrder& order = move->order;
  if (!move->record.has_value()) {
    if (is_leader) {
      out->records.push_back(
          {order.service, order.version, MoveOutcome::kInProgress, wall_now});
    }
    return;
  }
  const Traffic traffic = TrafficOf(order);
  Judge(move, traffic.bad_answers, now, wall_now);
  const double fraction = move->ElapsedFraction(now);
  if (move->verdict.as_fast && !move->verdict.suspect) {
    move->cleared_answers = move->verdict.ends;
  }
  const Schedule schedule = ScheduleOf(order, traffic);
  const bool has_all = move->share.share_permille == kPermille;
  // The plan changes when an old request has taken longer than all before. A VM
  // that has just started goes by the plan as it is.
  const Time planned =
      move->started + FromSeconds(schedule.full * ToSeconds(order.time));
  SetSince(fraction >= schedule.full, move->is_followed ? now : planned,
           &move->full_due_since);
  move->is_followed = true;
  const bool is_overdue =
      !has_all && (fraction >= kForcedCompletionFraction ||
                   HasLasted(move->full_due_since,
                             schedule.max_delay * ToSeconds(order.time), now));
  const bool is_doubtful = IsDoubtful(fraction, now, move);
  // The load of all traffic slows a good version too, so then only proof
  // counts.
  const bool is_likely_slow = is_doubtful && !has_all;
  if (!move->is_rolling_back &&
      (move->verdict.bad || is_likely_slow || (is_overdue && is_leader))) {
    move->is_rolling_back = true;
    out->log_lines.push_back(fmt::format(
        "event=move_withdrawn service={} version={} part={:.2f} answers={} "
        "given={:.0f} of={:.0f} reason=\"{}\"",
        order.service, order.version, fraction, move->verdict.ends,
        traffic.given, traffic.total,
        move->verdict.bad ? move->verdict.reason
        : is_likely_slow  ? "it is more likely slow, or not clearly as fast"
                          : "too little time is left before the deadline"));
  }
  if (move->is_rolling_back) {
    move->share = VersionShare();
    out->records.push_back({order.service, order.version,
                            MoveOutcome::kRolledBack, move->record->started});
    return;
  }
  const VersionShare share =
      NextShare(*move, sides, schedule, traffic, fraction);
  const bool gets_all = share.share_permille == kPermille;
  // The canary share follows the traffic.
  if (share.max_targets != move->share.max_targets ||
      std::abs(share.share_permille - move->share.share_permille) >
          move->share.share_permille / 2) {
    out->log_lines.push_back(fmt::format(
        "event=move_share service={} version={} part={:.2f} permille={} "
        "targets={} answers={} given={:.0f} of={:.0f} suspect={} "
        "reason=\"{}\"",
        order.service, order.version, fraction, share.share_permille,
        share.max_targets, move->verdict.ends, traffic.given, traffic.total,
        move->verdict.suspect, move->verdict.reason));
  }
  move->share = share;
  SetSince(gets_all && sides.old_running == 0, now, &move->idle_since);
  if (!gets_all) {
    move->answers_before_full_share = move->verdict.ends;
  }
  const bool is_idle =
      HasLasted(move->idle_since, ToSeconds(kMinIdleTime), now) &&
      move->verdict.ends >=
          move->answers_before_full_share + kMinFullShareAnswers;
  if (is_leader && gets_all &&
      (is_idle || fraction >= kForcedCompletionFraction)) {
    out->records.push_back({order.service, order.version,
                            MoveOutcome::kCompleted, move->record->started});
  }
}

VersionMoves::Decisions VersionMoves::Decide(
    const std::map<std::string, SideCapacity>& sides, bool is_leader, Time now,
    WallTime wall_now) {
  Decisions out;
  if (!IsAnyMoving()) {
    reported_.clear();
  }
  SetPeerCounts("", 0, Counts());
  for (const auto& [service, move] : moves_) {
    const auto it = sides.find(service);
    const SideCapacity side = it == sides.end() ? SideCapacity() : it->second;
    if (!IsFinal(move->record)) {
      Step(move.get(), side, is_leader, now, wall_now, &out);
    }
    VersionRule rule;
    rule.share = move->share;
    rule.share.model = service;
    rule.share.to_version = move->order.version;
    if (IsFinal(move->record)) {
      rule.is_final = true;
      const bool is_done = move->record->outcome == MoveOutcome::kCompleted;
      rule.share.share_permille = is_done ? static_cast<int>(kPermille) : 0;
      if (is_done && side.new_slots == 0) {
        // Later versions have replaced this one.
        continue;
      }
    }
    out.rules[service] = rule;
  }
  return out;
}

}  // namespace hornbeamcleat
