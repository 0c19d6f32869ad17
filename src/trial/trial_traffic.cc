#include "src/trial/trial_traffic.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace hornbeamcleat {
namespace {

constexpr std::array<double, kTrialRoutes> kRouteWeights = {0.4, 0.3, 0.2, 0.1};
constexpr std::array<double, 2> kFirstPartMedians = {0.3, 0.8};  // seconds
constexpr std::array<double, 2> kAnswerSeconds = {1.5, 4.5};
constexpr double kLongRatio = 0.4;
constexpr double kLogSpread = 0.5;
constexpr double kGapMedian = 0.05;  // seconds
constexpr double kGapLogSpread = 0.2;
constexpr double kBaseFaultRatio = 0.002;
constexpr double kLoadEffect = 0.5;
constexpr double kFullLoad = 0.65;  // of the limit, at the average rate
constexpr double kMeanServiceSeconds = 3.3;
constexpr double kFaultSeconds = 0.05;
constexpr double kSwing = 0.2;  // of the rate, over the window
constexpr std::size_t kRing = 1'024;
constexpr int kLoads = 2;
constexpr int kLengths = 2;

int CellIndex(bool fresh, int route, int length, int load) {
  const int side = fresh ? 1 : 0;
  return ((side * kTrialRoutes + route) * kLengths + length) * kLoads + load;
}

}  // namespace

TrialTraffic::TrialTraffic(const TrialSpec& spec)
    : spec_(spec), random_(spec.seed), ends_(kRing) {
  std::uniform_int_distribution<int> route(0, kTrialRoutes - 1);
  bad_route_ = route(random_);
  const std::int64_t ticks = spec.window / kTrialTick;
  std::uniform_real_distribution<double> part(0, 1);
  if (spec.fault == FaultKind::kFailsLate) {
    fault_tick_ = static_cast<std::int64_t>(static_cast<double>(ticks) *
                                            (0.15 + 0.4 * part(random_)));
  }
  if (spec.fault == FaultKind::kFailsInBake) {
    bake_ticks_ = static_cast<std::int64_t>(
        0.7 * part(random_) * static_cast<double>(spec.bake_time / kTrialTick));
  }
  for (TrialEntry& entry : entries_) {
    entry.evidence = EmptyEvidence();
  }
}

std::vector<VersionEvidence> TrialTraffic::EmptyEvidence() const {
  std::vector<VersionEvidence> out;
  for (const char* version : {"v1", "v2"}) {
    for (int route = 0; route < kTrialRoutes; ++route) {
      for (int cell = 0; cell < kLengths * kLoads; ++cell) {
        VersionEvidence evidence;
        evidence.model = "llm";
        evidence.version = version;
        evidence.workspace = "w" + std::to_string(route);
        evidence.application = "app";
        evidence.tier_rank = route % 3;
        evidence.length_class = cell / kLoads;
        evidence.load_level = cell % kLoads;
        out.push_back(evidence);
      }
    }
  }
  return out;
}

void TrialTraffic::Kill(int index) {
  entries_[index].alive = false;
  entries_[index].fresh_in_flight = 0;
}

void TrialTraffic::Restart(int index) {
  TrialEntry& entry = entries_[index];
  entry.alive = true;
  ++entry.incarnation;
  entry.evidence = EmptyEvidence();
}

void TrialTraffic::Finish(const End& end) {
  --in_flight_[end.target];
  TrialEntry& entry = entries_[end.entry];
  if (!entry.alive || entry.incarnation != end.incarnation) {
    return;
  }
  if (end.target >= kTrialTargets) {
    --entry.fresh_in_flight;
  }
  VersionEvidence& cell = entry.evidence[end.cell];
  if (end.fault) {
    ++cell.faults;
    return;
  }
  ++cell.done;
  const double first_log = std::log(end.first_part);
  cell.first_part_sum += end.first_part;
  cell.first_part_square_sum += end.first_part * end.first_part;
  cell.first_part_log_sum += first_log;
  cell.first_part_log_square_sum += first_log * first_log;
  const double gap_log = std::log(end.gap);
  ++cell.gaps;
  cell.gap_log_sum += gap_log;
  cell.gap_log_square_sum += gap_log * gap_log;
}

int TrialTraffic::PickTarget(bool fresh, const TrialEntry& entry) {
  const int cap = entry.share.max_targets;
  const int targets =
      fresh && cap > 0 ? std::min(cap, kTrialTargets) : kTrialTargets;
  std::uniform_int_distribution<int> pick(0, targets - 1);
  const int base = fresh ? kTrialTargets : 0;
  const int one = base + pick(random_);
  const int two = base + pick(random_);
  return in_flight_[one] <= in_flight_[two] ? one : two;
}

bool TrialTraffic::FaultActive(int route, double load) const {
  if (!fault_begun_) {
    return false;
  }
  switch (spec_.fault) {
    case FaultKind::kNone:
      return false;
    case FaultKind::kSlowUnderLoad:
      return load >= 0.5;
    case FaultKind::kOneRoute:
    case FaultKind::kOneInFiftyOneRoute:
      return route == bad_route_;
    default:
      return true;
  }
}

double TrialTraffic::FaultRatio() const {
  switch (spec_.fault) {
    case FaultKind::kFailsAtOnce:
    case FaultKind::kOneRoute:
      return 0.5;
    case FaultKind::kFailsLate:
    case FaultKind::kFailsInBake:
      return 0.3;
    case FaultKind::kOneInFifty:
    case FaultKind::kOneInFiftyOneRoute:
      return 0.02;
    default:
      return 0;
  }
}

double TrialTraffic::Slowdown() const {
  switch (spec_.fault) {
    case FaultKind::kSlow:
      return 2;
    case FaultKind::kSlowUnderLoad:
      return 3;
    default:
      return 1;
  }
}

TrialTraffic::End TrialTraffic::Serve(int entry, int target, int route) {
  std::uniform_real_distribution<double> unit(0, 1);
  std::normal_distribution<double> normal(0, 1);
  const bool fresh = target >= kTrialTargets;
  const int length = unit(random_) < kLongRatio ? 1 : 0;
  const double limit =
      spec_.rate / kTrialTargets * kMeanServiceSeconds / kFullLoad;
  const double load = in_flight_[target] / std::max(1.0, limit);
  const bool faulty = fresh && FaultActive(route, load);
  const double slower = faulty ? Slowdown() : 1;
  const double ratio = kBaseFaultRatio + (faulty ? FaultRatio() : 0);
  End end;
  end.entry = entry;
  end.incarnation = entries_[entry].incarnation;
  end.target = target;
  end.cell = CellIndex(fresh, route, length, load >= 0.5 ? 1 : 0);
  end.fault = unit(random_) < ratio;
  end.first_part = kFirstPartMedians[length] * (1 + kLoadEffect * load) *
                   slower * std::exp(kLogSpread * normal(random_));
  end.gap = kGapMedian * slower * std::exp(kGapLogSpread * normal(random_));
  ++in_flight_[target];
  return end;
}

void TrialTraffic::Arrive(std::int64_t tick) {
  std::uniform_int_distribution<int> any(0, kTrialEntries - 1);
  int entry = any(random_);
  while (!entries_[entry].alive) {
    entry = any(random_);
  }
  std::discrete_distribution<int> route(kRouteWeights.begin(),
                                        kRouteWeights.end());
  const int chosen = route(random_);
  TrialEntry& self = entries_[entry];
  const std::uint64_t hash = random_();
  const bool room = self.share.max_in_flight == 0 ||
                    self.fresh_in_flight < self.share.max_in_flight;
  const bool fresh =
      !self.withdrawn && room && ChoosesNewVersion(self.share, hash);
  const End end = Serve(entry, PickTarget(fresh, self), chosen);
  ++requests_;
  if (fresh) {
    ++fresh_;
    ++self.fresh_in_flight;
    after_fault_ += fault_begun_ ? 1 : 0;
  }
  const int length = (end.cell / kLoads) % kLengths;
  const double seconds =
      end.fault ? kFaultSeconds : end.first_part + kAnswerSeconds[length];
  const std::int64_t ticks =
      std::clamp<std::int64_t>(FromSeconds(seconds) / kTrialTick, 1, kRing - 1);
  ends_[(tick + ticks) % kRing].push_back(end);
}

void TrialTraffic::Run(std::int64_t tick, bool baking) {
  if (spec_.fault == FaultKind::kFailsInBake) {
    bake_ticks_ -= baking ? 1 : 0;
    fault_begun_ = bake_ticks_ < 0;
  } else {
    fault_begun_ = spec_.fault != FaultKind::kNone && tick >= fault_tick_;
  }
  std::vector<End> due;
  due.swap(ends_[tick % kRing]);
  for (const End& end : due) {
    Finish(end);
  }
  const double phase = static_cast<double>(tick) /
                       static_cast<double>(spec_.window / kTrialTick);
  const double rate = spec_.rate * (1 + kSwing * std::sin(6.28 * phase));
  std::poisson_distribution<int> arrivals(rate * ToSeconds(kTrialTick));
  for (int n = arrivals(random_); n > 0; --n) {
    Arrive(tick);
  }
}

}  // namespace hornbeamcleat
