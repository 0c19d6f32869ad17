#include "src/trial/trial_traffic.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace hornbeamcleat {
namespace {

constexpr std::array<double, kTrialRoutes> kRouteWeights = {0.4, 0.3, 0.2, 0.1};
constexpr std::array<double, 2> kFirstPartMedians = {0.3, 0.8};  // seconds
constexpr std::array<double, 2> kResponseSeconds = {1.5, 4.5};
constexpr double kLongRatio = 0.4;
constexpr double kFirstPartLogDeviation = 0.5;
constexpr double kGapMedian = 0.05;  // seconds
constexpr double kGapLogDeviation = 0.2;
constexpr double kBaseFaultRatio = 0.002;
constexpr double kLoadEffect = 0.5;
constexpr double kMeanLoad = 0.65;  // of a target's limit, at the mean rate
constexpr double kMeanServiceSeconds = 3.3;
constexpr double kFaultSeconds = 0.05;
// Relative amplitude of the rate, which follows a sine over the window.
constexpr double kRateAmplitude = 0.2;
constexpr std::size_t kRingTicks = 1'024;
constexpr int kLoadLevels = 2;
constexpr int kLengthClasses = 2;

int CellIndex(bool is_canary, int route, int length, int load) {
  const int side = is_canary ? 1 : 0;
  return ((side * kTrialRoutes + route) * kLengthClasses + length) *
             kLoadLevels +
         load;
}

}  // namespace

TrialTraffic::TrialTraffic(const TrialSpec& spec)
    : spec_(spec), random_(spec.seed), completions_(kRingTicks) {
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
      for (int cell = 0; cell < kLengthClasses * kLoadLevels; ++cell) {
        VersionEvidence evidence;
        evidence.model = "llm";
        evidence.version = version;
        evidence.workspace = "w" + std::to_string(route);
        evidence.application = "app";
        evidence.tier_rank = route % 3;
        evidence.length_class = cell / kLoadLevels;
        evidence.load_level = cell % kLoadLevels;
        out.push_back(evidence);
      }
    }
  }
  return out;
}

void TrialTraffic::Kill(int index) {
  entries_[index].alive = false;
  entries_[index].canary_in_flight = 0;
}

void TrialTraffic::Restart(int index) {
  TrialEntry& entry = entries_[index];
  entry.alive = true;
  ++entry.incarnation;
  entry.evidence = EmptyEvidence();
}

void TrialTraffic::Complete(const Completion& completion) {
  --in_flight_[completion.target];
  TrialEntry& entry = entries_[completion.entry];
  if (!entry.alive || entry.incarnation != completion.incarnation) {
    return;
  }
  if (completion.target >= kTrialTargets) {
    --entry.canary_in_flight;
  }
  VersionEvidence& cell = entry.evidence[completion.cell];
  if (completion.fault) {
    ++cell.faults;
    return;
  }
  ++cell.done;
  const double first_log = std::log(completion.first_part);
  cell.first_part_sum += completion.first_part;
  cell.first_part_square_sum += completion.first_part * completion.first_part;
  cell.first_part_log_sum += first_log;
  cell.first_part_log_square_sum += first_log * first_log;
  const double gap_log = std::log(completion.gap);
  ++cell.gaps;
  cell.gap_log_sum += gap_log;
  cell.gap_log_square_sum += gap_log * gap_log;
}

int TrialTraffic::PickTarget(bool is_canary, const TrialEntry& entry) {
  const int cap = entry.share.max_targets;
  const int targets =
      is_canary && cap > 0 ? std::min(cap, kTrialTargets) : kTrialTargets;
  std::uniform_int_distribution<int> pick(0, targets - 1);
  const int base = is_canary ? kTrialTargets : 0;
  const int first = base + pick(random_);
  const int second = base + pick(random_);
  return in_flight_[first] <= in_flight_[second] ? first : second;
}

bool TrialTraffic::FaultActive(int route, double load) const {
  if (!fault_started_) {
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

TrialTraffic::Completion TrialTraffic::Dispatch(int entry, int target,
                                                int route) {
  std::uniform_real_distribution<double> unit(0, 1);
  std::normal_distribution<double> normal(0, 1);
  const bool is_canary = target >= kTrialTargets;
  const int length = unit(random_) < kLongRatio ? 1 : 0;
  const double limit =
      spec_.rate / kTrialTargets * kMeanServiceSeconds / kMeanLoad;
  const double load = in_flight_[target] / std::max(1.0, limit);
  const bool faulty = is_canary && FaultActive(route, load);
  const double slower = faulty ? Slowdown() : 1;
  const double ratio = kBaseFaultRatio + (faulty ? FaultRatio() : 0);
  Completion completion;
  completion.entry = entry;
  completion.incarnation = entries_[entry].incarnation;
  completion.target = target;
  completion.cell = CellIndex(is_canary, route, length, load >= 0.5 ? 1 : 0);
  completion.fault = unit(random_) < ratio;
  completion.first_part = kFirstPartMedians[length] * (1 + kLoadEffect * load) *
                          slower *
                          std::exp(kFirstPartLogDeviation * normal(random_));
  completion.gap =
      kGapMedian * slower * std::exp(kGapLogDeviation * normal(random_));
  ++in_flight_[target];
  return completion;
}

void TrialTraffic::HandleArrival(std::int64_t tick) {
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
                    self.canary_in_flight < self.share.max_in_flight;
  const bool is_canary =
      !self.withdrawn && room && ChoosesNewVersion(self.share, hash);
  const Completion completion =
      Dispatch(entry, PickTarget(is_canary, self), chosen);
  ++requests_;
  if (is_canary) {
    ++canary_requests_;
    ++self.canary_in_flight;
    canary_requests_after_fault_ += fault_started_ ? 1 : 0;
  }
  const int length = (completion.cell / kLoadLevels) % kLengthClasses;
  const double seconds = completion.fault
                             ? kFaultSeconds
                             : completion.first_part + kResponseSeconds[length];
  const std::int64_t ticks = std::clamp<std::int64_t>(
      FromSeconds(seconds) / kTrialTick, 1, kRingTicks - 1);
  completions_[(tick + ticks) % kRingTicks].push_back(completion);
}

void TrialTraffic::Run(std::int64_t tick, bool baking) {
  if (spec_.fault == FaultKind::kFailsInBake) {
    bake_ticks_ -= baking ? 1 : 0;
    fault_started_ = bake_ticks_ < 0;
  } else {
    fault_started_ = spec_.fault != FaultKind::kNone && tick >= fault_tick_;
  }
  std::vector<Completion> due;
  due.swap(completions_[tick % kRingTicks]);
  for (const Completion& completion : due) {
    Complete(completion);
  }
  const double phase = static_cast<double>(tick) /
                       static_cast<double>(spec_.window / kTrialTick);
  const double rate =
      spec_.rate * (1 + kRateAmplitude * std::sin(6.28 * phase));
  std::poisson_distribution<int> arrivals(rate * ToSeconds(kTrialTick));
  for (int n = arrivals(random_); n > 0; --n) {
    HandleArrival(tick);
  }
}

}  // namespace hornbeamcleat
