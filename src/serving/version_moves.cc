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
/// Part of a move's time for which the first share lasts.
constexpr double kFirstShareEnd = 0.5;
/// Part of the bound on a bad version's traffic that the first share uses up;
/// the rest is for a fault that shows while the share grows.
constexpr double kFirstShareBudget = 0.75;
/// Shares after the first and the part of the move's time at which they begin.
struct GrowthStep {
  double part;
  int permille;
};
constexpr GrowthStep kGrowth[] = {
    {kFirstShareEnd, 300}, {0.58, 600}, {0.66, 1'000}};
/// From this part on a move that has not grown to the end is taken back.
constexpr double kGiveUpPart = 0.8;
/// From this part on a move is completed though old targets still answer, since
/// it would miss its deadline otherwise.
constexpr double kLatestEndPart = 0.92;
/// Time without work at the old targets before a move ends; peers tell of
/// theirs within less.
constexpr Duration kQuietTime = std::chrono::milliseconds(700);
/// Answers of the new version before its share grows.
constexpr std::uint64_t kLeastEnds = 10;
/// Fault ratio above the other versions' that makes a version bad, and ratio of
/// times to the first event. Moves of seconds see some tens of answers, which
/// show no less.
constexpr double kMaxFaultRatio = 0.05;
constexpr double kMaxSlowness = 3;
/// Part of the old places that the new version must have before it grows.
constexpr double kLeastPlaces = 0.5;
/// Name in evidence for all versions but the new one.
constexpr char kOldVersions[] = "";

bool IsOver(const std::optional<MoveRecord>& record) {
  return record.has_value() && record->outcome != MoveOutcome::kInProgress;
}

// Name of a move in evidence; a later order of the service starts anew.
std::string MoveName(const std::string& service, const std::string& version) {
  return service + "/" + version;
}

MoveSpec JudgeSpec(const MoveOrder& order) {
  MoveSpec spec;
  spec.model = MoveName(order.service, order.version);
  spec.from_version = kOldVersions;
  spec.to_version = order.version;
  spec.max_fault_ratio = kMaxFaultRatio;
  spec.max_latency_ratio = kMaxSlowness;
  return spec;
}

}  // namespace

struct VersionMoves::Move {
  explicit Move(const MoveOrder& its_order)
      : order(its_order), judge(JudgeSpec(its_order)) {}

  double PartAt(Time now) const {
    return ToSeconds(now - started) / std::max(0.001, ToSeconds(order.time));
  }

  const MoveOrder order;
  std::optional<MoveRecord> record;
  VersionJudge judge;
  Verdict verdict;
  std::optional<Time> start_point;
  Time started;  ///< on this VM's clock
  std::optional<Time> quiet_since;
  bool is_withdrawn = false;
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
      // Taken over to this VM's steady clock once; the date may jump later.
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
}

bool VersionMoves::IsMoving(const std::string& service) const {
  const auto it = moves_.find(service);
  return it != moves_.end() && !IsOver(it->second->record);
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

void VersionMoves::OnFailed(const std::string& service,
                            const std::string& route,
                            const std::string& version) {
  VersionCounts* const counts = Counter(service, route, version);
  if (counts != nullptr) {
    ++counts->faults;
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
    sums.model = MoveName(item.service, item.version);
    sums.version = item.is_new ? item.version : kOldVersions;
    sums.application = item.route;
    sums.done = item.done;
    sums.faults = item.faults;
    sums.first_part_log_sum = item.slowness_log_sum;
    sums.first_part_log_square_sum = item.slowness_log_square_sum;
    evidence.push_back(sums);
  }
  if (!evidence.empty()) {
    // Incarnations are random, not rising, so each is an entry of its own.
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
      evidence_->Merged(MoveName(move->order.service, move->order.version)),
      wall_now, start_point);
}

int VersionMoves::CanaryPermille() const {
  return static_cast<int>(kPermille * options_.exposure_share *
                          kFirstShareBudget / kFirstShareEnd);
}

int VersionMoves::Permille(const Move& move, const SideCapacity& sides,
                           double part) const {
  const bool holds = move.verdict.suspect || move.verdict.ends < kLeastEnds ||
                     sides.new_slots < kLeastPlaces * sides.old_slots;
  if (holds) {
    // More answers at this share prove a fault or clear it soonest.
    return std::max(CanaryPermille(), move.permille);
  }
  int permille = CanaryPermille();
  for (const GrowthStep& step : kGrowth) {
    if (part >= step.part) {
      permille = step.permille;
    }
  }
  return permille;
}

void VersionMoves::Step(Move* move, const SideCapacity& sides, bool leads,
                        Time now, WallTime wall_now, Decisions* out) {
  const MoveOrder& order = move->order;
  if (!move->record.has_value()) {
    move->permille = 0;
    if (leads) {
      out->records.push_back(
          {order.service, order.version, MoveOutcome::kInProgress, wall_now});
    }
    return;
  }
  Judge(move, now, wall_now);
  const double part = move->PartAt(now);
  const bool is_late = part >= kGiveUpPart && move->permille < kPermille;
  if (!move->is_withdrawn && (move->verdict.bad || (is_late && leads))) {
    move->is_withdrawn = true;
    out->log_lines.push_back(fmt::format(
        "event=move_withdrawn service={} version={} part={:.2f} answers={} "
        "reason=\"{}\"",
        order.service, order.version, part, move->verdict.ends,
        move->verdict.bad ? move->verdict.reason
                          : "the deadline is too near to finish"));
  }
  if (move->is_withdrawn) {
    move->permille = 0;
    out->records.push_back({order.service, order.version,
                            MoveOutcome::kRolledBack, move->record->started});
    return;
  }
  const int permille = Permille(*move, sides, part);
  if (permille != move->permille) {
    out->log_lines.push_back(fmt::format(
        "event=move_share service={} version={} part={:.2f} permille={} "
        "answers={} suspect={} reason=\"{}\"",
        order.service, order.version, part, permille, move->verdict.ends,
        move->verdict.suspect, move->verdict.reason));
    move->permille = permille;
    move->quiet_since.reset();
  }
  if (permille < kPermille || sides.old_running > 0) {
    move->quiet_since.reset();
  } else if (!move->quiet_since.has_value()) {
    move->quiet_since = now;
  }
  const bool is_quiet =
      move->quiet_since.has_value() && now - *move->quiet_since >= kQuietTime;
  if (leads && permille == kPermille && (is_quiet || part >= kLatestEndPart)) {
    out->records.push_back({order.service, order.version,
                            MoveOutcome::kCompleted, move->record->started});
  }
}

VersionMoves::Decisions VersionMoves::Decide(
    const std::map<std::string, SideCapacity>& sides, bool leads, Time now,
    WallTime wall_now) {
  Decisions out;
  SetPeerCounts("", 0, Counts());
  for (const auto& [service, move] : moves_) {
    const auto it = sides.find(service);
    const SideCapacity side = it == sides.end() ? SideCapacity() : it->second;
    if (!IsOver(move->record)) {
      Step(move.get(), side, leads, now, wall_now, &out);
    }
    VersionRule rule;
    rule.share.model = service;
    rule.share.to_version = move->order.version;
    rule.share.share_permille = move->permille;
    if (IsOver(move->record)) {
      rule.is_final = true;
      const bool is_done = move->record->outcome == MoveOutcome::kCompleted;
      rule.share.share_permille = is_done ? static_cast<int>(kPermille) : 0;
      if (is_done && side.new_slots == 0) {
        // Later versions have taken the place of this one.
        continue;
      }
    }
    out.rules[service] = rule;
  }
  return out;
}

}  // namespace hornbeamcleat
