#include "hornbeamcleat/move/move_controller.h"

#include <algorithm>
#include <array>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/move/move_schedule.h"
#include "src/move/version_analyzer.h"

namespace hornbeamcleat {
namespace {

constexpr int kPermille = 1'000;
constexpr std::array<const char*, 5> kPhaseNames = {
    "Loading", "Growing", "Baking", "Done", "RolledBack"};
// Requests in flight at one entry on a version that has only its first share.
constexpr int kCanaryInFlight = 8;
constexpr std::chrono::milliseconds kMinLookPeriod{250};
constexpr std::chrono::milliseconds kLookPeriod{1'000};
// While the share is small, a look costs more than a few seconds' delay.
constexpr std::chrono::milliseconds kSmallShareLookPeriod{3'000};
constexpr int kSmallSharePermille = 20;
// Requests that a new version may always be given, whatever their share.
constexpr std::uint64_t kFewEnds = 20;
constexpr int kFirstShareParts = 6;
// Part of the move's traffic that the share which meets full load may add.
constexpr double kLoadBudget = 0.005;
// Part of the move's traffic from which a suspect version gets the first share
// again.
constexpr double kSuspectBudget = 0.016;

bool Final(MovePhase phase) {
  return phase == MovePhase::kDone || phase == MovePhase::kRolledBack;
}

class AutomaticController : public MoveController {
 public:
  explicit AutomaticController(const MoveSpec& spec)
      : spec_(spec), judge_(spec) {}

  MoveDecision Decide(const MoveState& state, const MoveInput& input) override;
  VersionShare Share(const MoveState& state) const override;

 private:
  void Prepare(const MoveInput& input);
  std::chrono::milliseconds LookPeriod(const MoveState& state) const;
  int StepIndex(int share_permille) const;
  void RollBack(const MoveInput& input, const std::string& reason,
                MoveDecision* out) const;
  bool OutOfTime(const MoveState& state, const MoveInput& input,
                 MoveDecision* out) const;
  Duration Remaining(const MoveState& state, WallTime now) const;
  void Grow(const MoveState& state, const MoveInput& input,
            const VersionAssessment& verdict, MoveDecision* out) const;
  bool RaiseFirst(const MoveState& state, WallTime now,
                  const VersionAssessment& verdict) const;
  bool StepBack(const MoveState& state, const VersionAssessment& verdict) const;
  void GrowTo(int index, const MoveInput& input, MoveDecision* out) const;
  std::string Obstacle(const MoveState& state, WallTime now,
                       const VersionAssessment& verdict) const;
  std::string FirstObstacle(WallTime now,
                            const VersionAssessment& verdict) const;
  Duration StepLength(int index, const MoveState& state) const;
  void Bake(const MoveState& state, const MoveInput& input,
            const VersionAssessment& verdict, MoveDecision* out) const;

  MoveSpec spec_;
  VersionAnalyzer judge_;
  std::optional<WallTime> started_;
  std::optional<WallTime> last_start_point_;
  int targets_ = 0;
  std::vector<int> steps_;
  MoveSchedule schedule_;
};

void AutomaticController::Prepare(const MoveInput& input) {
  if (!started_ || input.started) {
    started_ = input.started.value_or(input.now);
  }
  targets_ = std::max(targets_, input.wanted_targets);
  steps_ = MoveSteps(spec_, targets_);
  schedule_ =
      MoveSchedule::Make(spec_, *started_, static_cast<int>(steps_.size()));
}

std::chrono::milliseconds AutomaticController::LookPeriod(
    const MoveState& state) const {
  const bool small = state.phase != MovePhase::kBaking &&
                     state.share_permille <= kSmallSharePermille;
  const std::chrono::milliseconds step =
      std::chrono::floor<std::chrono::milliseconds>(schedule_.growth_step);
  return std::clamp(step / 4, kMinLookPeriod,
                    small ? kSmallShareLookPeriod : kLookPeriod);
}

int AutomaticController::StepIndex(int share_permille) const {
  const std::vector<int>::const_iterator it =
      std::upper_bound(steps_.begin(), steps_.end(), share_permille);
  return std::max(0, static_cast<int>(it - steps_.begin()) - 1);
}

void AutomaticController::RollBack(const MoveInput& input,
                                   const std::string& reason,
                                   MoveDecision* out) const {
  out->reason = reason;
  if (input.log_available) {
    out->advance = MoveState{MovePhase::kRolledBack, 0, input.now, reason};
  }
}

Duration AutomaticController::Remaining(const MoveState& state,
                                        WallTime now) const {
  if (state.phase == MovePhase::kLoading) {
    return schedule_.Least(0);
  }
  const Duration spent =
      std::max(Duration{0}, Duration(now - state.step_since));
  if (state.phase == MovePhase::kBaking) {
    return std::max(Duration{0}, schedule_.bake - spent);
  }
  return schedule_.Least(StepIndex(state.share_permille) + 1);
}

bool AutomaticController::OutOfTime(const MoveState& state,
                                    const MoveInput& input,
                                    MoveDecision* out) const {
  if (input.now >= schedule_.rollback_by) {
    RollBack(input, "the deadline is too near to finish", out);
    // With the log down, or its holder gone, only gossip still takes it back.
    const Duration late = input.now - schedule_.rollback_by;
    out->withdraw = !input.log_available ||
                    2 * late >= spec_.deadline - schedule_.rollback_by;
    return true;
  }
  if (input.now + Remaining(state, input.now) > schedule_.rollback_by &&
      input.log_available) {
    RollBack(input, "the remaining steps can't fit before the deadline", out);
    return true;
  }
  return false;
}

std::string AutomaticController::FirstObstacle(
    WallTime now, const VersionAssessment& verdict) const {
  if (now < schedule_.FirstShareEnd()) {
    return "the first share lasts until its planned end";
  }
  if (verdict.good || verdict.plausible) {
    return "";
  }
  // Half of the slack may go into waiting for evidence; then what there is
  // decides, unless a route has none.
  const WallTime latest =
      schedule_.FirstShareEnd() +
      std::chrono::floor<std::chrono::milliseconds>(schedule_.slack / 2);
  if (!verdict.exposed) {
    return "the new version has not served every route";
  }
  return now >= latest ? "" : verdict.reason;
}

Duration AutomaticController::StepLength(int index,
                                         const MoveState& state) const {
  const Duration length = schedule_.Length(index, state.step_since);
  const bool load_step = index == 1 && spec_.steps_permille.empty();
  if (!load_step) {
    return length;
  }
  const double before = ToSeconds(state.step_since - *started_);
  const Duration budget =
      FromSeconds(kLoadBudget * before * kPermille / steps_[1]);
  return std::clamp(budget, kMinStep, std::max(kMinStep, length));
}

std::string AutomaticController::Obstacle(
    const MoveState& state, WallTime now,
    const VersionAssessment& verdict) const {
  if (verdict.suspect) {
    return "the evidence leans against the new version";
  }
  const int index = StepIndex(state.share_permille);
  if (index == 0) {
    return FirstObstacle(now, verdict);
  }
  if (now < state.step_since + StepLength(index, state)) {
    return "the share lasts until its planned end";
  }
  const bool load_step = index == 1 && spec_.steps_permille.empty();
  const WallTime patience =
      state.step_since +
      std::chrono::floor<std::chrono::milliseconds>(2 * schedule_.growth_step);
  if (now >= patience) {
    return "";
  }
  if (load_step && !verdict.met_load) {
    return "the new version has not met high load";
  }
  return verdict.good || verdict.plausible ? "" : verdict.reason;
}

// With little traffic a small share is hardly served at all, so it is doubled
// until a few requests have been.
bool AutomaticController::RaiseFirst(const MoveState& state, WallTime now,
                                     const VersionAssessment& verdict) const {
  const Duration planned = schedule_.FirstShareEnd() - *started_;
  return spec_.steps_permille.empty() && StepIndex(state.share_permille) == 0 &&
         2 * state.share_permille < steps_[1] && verdict.ends < kFewEnds &&
         now - state.step_since >= planned / kFirstShareParts;
}

// The share that meets full load is dear: a version that isn't cleared within
// its budget is watched further at the first share.
bool AutomaticController::StepBack(const MoveState& state,
                                   const VersionAssessment& verdict) const {
  return spec_.steps_permille.empty() && StepIndex(state.share_permille) == 1 &&
         verdict.suspect && verdict.fresh_ratio >= kSuspectBudget;
}

void AutomaticController::GrowTo(int index, const MoveInput& input,
                                 MoveDecision* out) const {
  const int share = steps_[index];
  const std::int64_t ready = input.ready_targets;
  if (ready < 1 ||
      ready * kPermille < std::int64_t{share} * input.wanted_targets) {
    out->reason = "too few targets have loaded the new version";
    return;
  }
  const bool last = index + 1 == static_cast<int>(steps_.size());
  out->reason = last ? "the full share bakes" : "the evidence allows growth";
  out->advance = MoveState{last ? MovePhase::kBaking : MovePhase::kGrowing,
                           share, input.now, out->reason};
}

void AutomaticController::Grow(const MoveState& state, const MoveInput& input,
                               const VersionAssessment& verdict,
                               MoveDecision* out) const {
  if (RaiseFirst(state, input.now, verdict)) {
    out->reason = "too little traffic for the first share";
    out->advance = MoveState{MovePhase::kGrowing, 2 * state.share_permille,
                             input.now, out->reason};
    return;
  }
  if (StepBack(state, verdict)) {
    out->reason = "the evidence leans against the new version";
    out->advance =
        MoveState{MovePhase::kGrowing, steps_[0], input.now, out->reason};
    return;
  }
  out->reason = Obstacle(state, input.now, verdict);
  if (out->reason.empty()) {
    GrowTo(StepIndex(state.share_permille) + 1, input, out);
  }
}

void AutomaticController::Bake(const MoveState& state, const MoveInput& input,
                               const VersionAssessment& verdict,
                               MoveDecision* out) const {
  if (input.now < state.step_since + schedule_.bake) {
    out->reason = "baking with the old version kept loaded";
  } else if (verdict.suspect) {
    out->reason = "the evidence leans against the new version";
  } else {
    out->reason = "the bake time ended without a fault";
    out->advance =
        MoveState{MovePhase::kDone, kPermille, input.now, out->reason};
  }
}

MoveDecision AutomaticController::Decide(const MoveState& state,
                                         const MoveInput& input) {
  MoveDecision out;
  out.next_evaluation = input.now + kSmallShareLookPeriod;
  if (Final(state.phase)) {
    out.reason = state.reason;
    return out;
  }
  Prepare(input);
  out.next_evaluation = input.now + LookPeriod(state);
  const Duration spacing =
      (spec_.deadline - *started_) / ChangeMixture::kMaxStartPoints;
  const bool start_point =
      !last_start_point_ || input.now - *last_start_point_ >= spacing;
  if (start_point) {
    last_start_point_ = input.now;
  }
  const VersionAssessment verdict =
      judge_.Update(input.evidence, input.now, start_point);
  if (input.withdrawn) {
    RollBack(input, "the new version was withdrawn", &out);
  } else if (verdict.bad) {
    RollBack(input, verdict.reason, &out);
    out.withdraw = true;
  } else if (OutOfTime(state, input, &out)) {
    return out;
  } else if (!input.log_available) {
    out.reason = "the log is down, so the share stays";
  } else if (state.phase == MovePhase::kLoading) {
    GrowTo(0, input, &out);
  } else if (state.phase == MovePhase::kGrowing) {
    Grow(state, input, verdict, &out);
  } else {
    Bake(state, input, verdict, &out);
  }
  return out;
}

VersionShare AutomaticController::Share(const MoveState& state) const {
  VersionShare share;
  share.model = spec_.model;
  share.from_version = spec_.from_version;
  share.to_version = spec_.to_version;
  const bool offered = state.phase != MovePhase::kLoading &&
                       state.phase != MovePhase::kRolledBack;
  share.share_permille = offered ? state.share_permille : 0;
  if (state.phase != MovePhase::kGrowing) {
    return share;
  }
  const std::vector<int> steps = MoveSteps(spec_, targets_);
  if (steps.size() > 1 && state.share_permille < steps[1]) {
    share.max_in_flight = kCanaryInFlight;
  }
  // As many targets as the share loads fully, at least one.
  share.max_targets = std::max(
      1, (state.share_permille * targets_ + kPermille - 1) / kPermille);
  return share;
}

}  // namespace

const char* MovePhaseName(MovePhase phase) {
  return kPhaseNames[static_cast<std::size_t>(phase)];
}

MovePhase ParseMovePhase(const std::string& name) {
  for (std::size_t n = 0; n < kPhaseNames.size(); ++n) {
    if (name == kPhaseNames[n]) {
      return static_cast<MovePhase>(n);
    }
  }
  throw Error("parse move phase", "", "unknown phase " + name);
}

std::unique_ptr<MoveController> MoveController::Make(const std::string& name,
                                                     const MoveSpec& spec,
                                                     std::uint64_t seed) {
  // Nothing is drawn or named yet; both belong to the interface.
  static_cast<void>(name);
  static_cast<void>(seed);
  return std::make_unique<AutomaticController>(spec);
}

WallTime EarliestEnd(const MoveSpec& spec, WallTime now, int targets,
                     Duration load_time) {
  const int steps = static_cast<int>(MoveSteps(spec, targets).size());
  const Duration loading = std::max(1, targets) * load_time;
  return now + std::chrono::ceil<std::chrono::milliseconds>(
                   loading + steps * kMinStep + spec.bake_time);
}

}  // namespace hornbeamcleat
