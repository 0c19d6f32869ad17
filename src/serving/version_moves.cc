#include "src/serving/version_moves.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "src/move/change_mixture.h"

namespace hornbeamcleat {
namespace {

constexpr double kPermille = 1'000;
/// Fraction of the move's duration spent at the canary share.
constexpr double kCanaryFraction = 0.5;
/// Fraction of the exposure limit that the canary phase may use. The rest is
/// for faults that appear while the share grows.
constexpr double kCanaryExposureShare = 0.75;
/// Shares after the canary phase and the fraction of the move's duration at
/// which they start.
struct GrowthStep {
  double fraction;
  int permille;
};
constexpr GrowthStep kGrowthSteps[] = {
    {kCanaryFraction, 300}, {0.58, 600}, {0.66, 1'000}};
/// Fraction of the duration after which a move without the full share is rolled
/// back.
constexpr double kRollBackFraction = 0.8;
/// Fraction of the duration after which a version without the full share that
/// is more likely slow than as fast is rolled back without proof.
/// Targets of unlike speed spread the times so much that proof can take longer
/// than the move.
constexpr double kSlowRollBackFraction = 0.6;
/// A version that is more likely slow is also rolled back after this fraction
/// of the time that is allowed for it. The rest is for reports of VMs in other
/// failure domains, decisions and the record.
constexpr double kDoubtShare = 0.6;
/// Answers of a version from which that time counts.
constexpr std::uint64_t kDoubtfulAnswers = 50;
/// Fraction of the duration after which a move completes even if old targets
/// still run requests, to meet its deadline.
constexpr double kForcedCompletionFraction = 0.92;
/// Idle time of the old targets before a move completes. Peers report their
/// load within less time.
constexpr Duration kMinIdleTime = std::chrono::milliseconds(700);
/// Minimum answers of the new version before its share grows.
constexpr std::uint64_t kMinAnswers = 10;
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

/// Lower bound of measured pauses; shorter ones are the time of a read.
constexpr Duration kMinPause = std::chrono::milliseconds(1);

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
  VersionAssessment verdict;
  std::optional<Time> start_point;
  Time started;  ///< on this VM's steady clock
  std::optional<Time> idle_since;
  /// Since when the version is more likely slow, with enough answers.
  std::optional<Time> doubtful_since;
  bool is_rolling_back = false;
  int permille = 0;
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
    // Incarnations are random and not ordered, so each gets its own entry.
    evidence_->Report(fmt::format("{}#{:x}", peer, incarnation), 1, evidence);
  }
}

void VersionMoves::Judge(Move* move, Time now, WallTime wall_now) {
  const Duration spacing = move->order.time / ChangeMixture::kMaxStartPoints;
  const bool start_point =
      !move->start_point.has_value() || now - *move->start_point >= spacing;
  if (start_point) {
    move->start_point = now;
  }
  move->verdict = move->judge.Update(
      evidence_->Merged(EvidenceKey(move->order.service, move->order.version)),
      wall_now, start_point);
}

int VersionMoves::CanaryPermille() const {
  return static_cast<int>(kPermille * options_.exposure_share *
                          kCanaryExposureShare / kCanaryFraction);
}

int VersionMoves::NextPermille(const Move& move, const SideCapacity& sides,
                               double fraction) const {
  const bool keeps_share = move.verdict.suspect || !move.verdict.as_fast ||
                           move.verdict.ends < kMinAnswers ||
                           sides.new_slots - sides.new_resting_slots <
                               kMinSlotRatio * sides.old_slots;
  if (keeps_share) {
    // Staying at this share gathers the answers that confirm or clear the
    // suspicion fastest.
    return std::max(CanaryPermille(), move.permille);
  }
  int permille = CanaryPermille();
  for (const GrowthStep& step : kGrowthSteps) {
    if (fraction >= step.fraction) {
      permille = step.permille;
    }
  }
  return permille;
}

void VersionMoves::Step(Move* move, const SideCapacity& sides, bool is_leader,
                        Time now, WallTime wall_now, Decisions* out) {
  const MoveOrder& order = move->order;
  if (!move->record.has_value()) {
    move->permille = 0;
    if (is_leader) {
      out->records.push_back(
          {order.service, order.version, MoveOutcome::kInProgress, wall_now});
    }
    return;
  }
  Judge(move, now, wall_now);
  const double fraction = move->ElapsedFraction(now);
  const bool is_overdue =
      fraction >= kRollBackFraction && move->permille < kPermille;
  // The load of all traffic slows a good version too, so then only proof
  // counts.
  if (!move->verdict.slower || move->verdict.ends < kDoubtfulAnswers) {
    move->doubtful_since.reset();
  } else if (!move->doubtful_since.has_value()) {
    move->doubtful_since = now;
  }
  const bool is_doubt_over =
      move->doubtful_since.has_value() &&
      now - *move->doubtful_since >=
          FromSeconds(kDoubtShare * ToSeconds(options_.rollback_limit));
  const bool is_likely_slow =
      move->verdict.slower &&
      (fraction >= kSlowRollBackFraction || is_doubt_over) &&
      move->permille < kPermille;
  if (!move->is_rolling_back &&
      (move->verdict.bad || is_likely_slow || (is_overdue && is_leader))) {
    move->is_rolling_back = true;
    out->log_lines.push_back(fmt::format(
        "event=move_withdrawn service={} version={} part={:.2f} answers={} "
        "reason=\"{}\"",
        order.service, order.version, fraction, move->verdict.ends,
        move->verdict.bad ? move->verdict.reason
        : is_likely_slow  ? "it is more likely slow than as fast"
                          : "too little time is left before the deadline"));
  }
  if (move->is_rolling_back) {
    move->permille = 0;
    out->records.push_back({order.service, order.version,
                            MoveOutcome::kRolledBack, move->record->started});
    return;
  }
  const int permille = NextPermille(*move, sides, fraction);
  if (permille != move->permille) {
    out->log_lines.push_back(fmt::format(
        "event=move_share service={} version={} part={:.2f} permille={} "
        "answers={} suspect={} reason=\"{}\"",
        order.service, order.version, fraction, permille, move->verdict.ends,
        move->verdict.suspect, move->verdict.reason));
    move->permille = permille;
    move->idle_since.reset();
  }
  if (permille < kPermille || sides.old_running > 0) {
    move->idle_since.reset();
  } else if (!move->idle_since.has_value()) {
    move->idle_since = now;
  }
  const bool is_idle =
      move->idle_since.has_value() && now - *move->idle_since >= kMinIdleTime;
  if (is_leader && permille == kPermille &&
      (is_idle || fraction >= kForcedCompletionFraction)) {
    out->records.push_back({order.service, order.version,
                            MoveOutcome::kCompleted, move->record->started});
  }
}

VersionMoves::Decisions VersionMoves::Decide(
    const std::map<std::string, SideCapacity>& sides, bool is_leader, Time now,
    WallTime wall_now) {
  Decisions out;
  SetPeerCounts("", 0, Counts());
  for (const auto& [service, move] : moves_) {
    const auto it = sides.find(service);
    const SideCapacity side = it == sides.end() ? SideCapacity() : it->second;
    if (!IsFinal(move->record)) {
      Step(move.get(), side, is_leader, now, wall_now, &out);
    }
    VersionRule rule;
    rule.share.model = service;
    rule.share.to_version = move->order.version;
    rule.share.share_permille = move->permille;
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
