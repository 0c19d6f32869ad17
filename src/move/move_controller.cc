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
// Maximum requests in flight at one entry on a version at its first share.
constexpr int kCanaryInFlight = 8;
constexpr std::chrono::milliseconds kMinEvaluationPeriod{250};
constexpr std::chrono::milliseconds kMaxEvaluationPeriod{1'000};
// While the share is small, a few seconds' delay costs less than an evaluation.
constexpr std::chrono::milliseconds kSmallShareEvaluationPeriod{3'000};
constexpr int kSmallSharePermille = 20;
// Requests that the new version may get regardless of their share.
constexpr std::uint64_t kMinCanaryRequests = 20;
// Divisor of the planned time of the first share: the time between raises.
constexpr int kFirstShareRaiseDivisor = 6;
// Part of the move's traffic that the step to full load of one target may add.
constexpr double kLoadStepBudget = 0.005;
// Part of the move's traffic from which a suspect version returns to the first
// share.
constexpr double kSuspectStepBudget = 0.016;

bool IsFinal(MovePhase phase) {
  return phase == MovePhase::kDone || phase == MovePhase::kRolledBack;
}

class AutomaticController : public MoveController {
 public:
  explicit AutomaticController(const MoveSpec& spec)
      : spec_(spec), analyzer_(spec) {}

  MoveDecision Decide(const MoveState& state, const MoveInput& input) override;
  VersionShare Share(const MoveState& state) const override;

 private:
  void UpdateSchedule(const MoveInput& input);
  std::chrono::milliseconds EvaluationPeriod(const MoveState& state) const;
  int StepIndex(int share_permille) const;
  void RollBack(const MoveInput& input, const std::string& reason,
                MoveDecision* out) const;
  bool RollBackIfLate(const MoveState& state, const MoveInput& input,
                      MoveDecision* out) const;
  Duration MinRemainingTime(const MoveState& state, WallTime now) const;
  void Grow(const MoveState& state, const MoveInput& input,
            const VersionAssessment& assessment, MoveDecision* out) const;
  bool ShouldRaiseFirstShare(const MoveState& state, WallTime now,
                             const VersionAssessment& assessment) const;
  bool ShouldStepBack(const MoveState& state,
                      const VersionAssessment& assessment) const;
  void GrowTo(int index, const MoveInput& input, MoveDecision* out) const;
  std::string GrowthBlocker(const MoveState& state, WallTime now,
                            const VersionAssessment& assessment) const;
  std::string FirstShareBlocker(WallTime now,
                                const VersionAssessment& assessment) const;
  Duration StepLength(int index, const MoveState& state) const;
  void Bake(const MoveState& state, const MoveInput& input,
            const VersionAssessment& assessment, MoveDecision* out) const;

  MoveSpec spec_;
  VersionAnalyzer analyzer_;
  std::optional<WallTime> started_;
  std::optional<WallTime> last_start_point_;
  int targets_ = 0;
  std::vector<int> steps_;
  MoveSchedule schedule_;
};

void AutomaticController::UpdateSchedule(const MoveInput& input) {
  if (!started_ || input.started) {
    started_ = input.started.value_or(input.now);
  }
  targets_ = std::max(targets_, input.wanted_targets);
  steps_ = MoveSteps(spec_, targets_);
  schedule_ =
      MoveSchedule::Make(spec_, *started_, static_cast<int>(steps_.size()));
}

std::chrono::milliseconds AutomaticController::EvaluationPeriod(
    const MoveState& state) const {
  const bool small = state.phase != MovePhase::kBaking &&
                     state.share_permille <= kSmallSharePermille;
  const std::chrono::milliseconds step =
      std::chrono::floor<std::chrono::milliseconds>(schedule_.growth_step);
  return std::clamp(step / 4, kMinEvaluationPeriod,
                    small ? kSmallShareEvaluationPeriod : kMaxEvaluationPeriod);
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

Duration AutomaticController::MinRemainingTime(const MoveState& state,
                                               WallTime now) const {
  if (state.phase == MovePhase::kLoading) {
    return schedule_.MinRemaining(0);
  }
  const Duration spent =
      std::max(Duration{0}, Duration(now - state.step_since));
  if (state.phase == MovePhase::kBaking) {
    return std::max(Duration{0}, schedule_.bake - spent);
  }
  return schedule_.MinRemaining(StepIndex(state.share_permille) + 1);
}

bool AutomaticController::RollBackIfLate(const MoveState& state,
                                         const MoveInput& input,
                                         MoveDecision* out) const {
  if (input.now >= schedule_.rollback_by) {
    RollBack(input, "the deadline is too near to finish", out);
    // If the log is down or its lease holder is gone, only a gossiped
    // withdrawal can still roll the move back.
    const Duration late = input.now - schedule_.rollback_by;
    out->withdraw = !input.log_available ||
                    2 * late >= spec_.deadline - schedule_.rollback_by;
    return true;
  }
  if (input.now + MinRemainingTime(state, input.now) > schedule_.rollback_by &&
      input.log_available) {
    RollBack(input, "the remaining steps can't fit before the deadline", out);
    return true;
  }
  return false;
}

std::string AutomaticController::FirstShareBlocker(
    WallTime now, const VersionAssessment& assessment) const {
  if (now < schedule_.FirstShareEnd()) {
    return "the first share lasts until its planned end";
  }
  if (assessment.good || assessment.plausible) {
    return "";
  }
  // Waits for evidence for up to half of the slack. After that the existing
  // evidence decides, unless a route has none.
  const WallTime latest =
      schedule_.FirstShareEnd() +
      std::chrono::floor<std::chrono::milliseconds>(schedule_.slack / 2);
  if (!assessment.exposed) {
    return "the new version has not served every route";
  }
  return now >= latest ? "" : assessment.reason;
}

Duration AutomaticController::StepLength(int index,
                                         const MoveState& state) const {
  const Duration length = schedule_.StepLength(index, state.step_since);
  const bool load_step = index == 1 && spec_.steps_permille.empty();
  if (!load_step) {
    return length;
  }
  const double before = ToSeconds(state.step_since - *started_);
  const Duration budget =
      FromSeconds(kLoadStepBudget * before * kPermille / steps_[1]);
  return std::clamp(budget, kMinStep, std::max(kMinStep, length));
}

std::string AutomaticController::GrowthBlocker(
    const MoveState& state, WallTime now,
    const VersionAssessment& assessment) const {
  if (assessment.suspect) {
    return "the evidence leans against the new version";
  }
  const int index = StepIndex(state.share_permille);
  if (index == 0) {
    return FirstShareBlocker(now, assessment);
  }
  if (now < state.step_since + StepLength(index, state)) {
    return "the share lasts until its planned end";
  }
  const bool load_step = index == 1 && spec_.steps_permille.empty();
  const WallTime latest =
      state.step_since +
      std::chrono::floor<std::chrono::milliseconds>(2 * schedule_.growth_step);
  if (now >= latest) {
    return "";
  }
  if (load_step && !assessment.met_load) {
    return "the new version has not met high load";
  }
  return assessment.good || assessment.plausible ? "" : assessment.reason;
}

// At low traffic the first share yields hardly any requests, so it is doubled
// until the new version has served a few.
bool AutomaticController::ShouldRaiseFirstShare(
    const MoveState& state, WallTime now,
    const VersionAssessment& assessment) const {
  const Duration planned = schedule_.FirstShareEnd() - *started_;
  return spec_.steps_permille.empty() && StepIndex(state.share_permille) == 0 &&
         2 * state.share_permille < steps_[1] &&
         assessment.ends < kMinCanaryRequests &&
         now - state.step_since >= planned / kFirstShareRaiseDivisor;
}

// The step to full load of one target takes much traffic. A version that is
// still suspect when its budget is spent returns to the first share.
bool AutomaticController::ShouldStepBack(
    const MoveState& state, const VersionAssessment& assessment) const {
  return spec_.steps_permille.empty() && StepIndex(state.share_permille) == 1 &&
         assessment.suspect && assessment.canary_ratio >= kSuspectStepBudget;
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
                               const VersionAssessment& assessment,
                               MoveDecision* out) const {
  if (ShouldRaiseFirstShare(state, input.now, assessment)) {
    out->reason = "too little traffic for the first share";
    out->advance = MoveState{MovePhase::kGrowing, 2 * state.share_permille,
                             input.now, out->reason};
    return;
  }
  if (ShouldStepBack(state, assessment)) {
    out->reason = "the evidence leans against the new version";
    out->advance =
        MoveState{MovePhase::kGrowing, steps_[0], input.now, out->reason};
    return;
  }
  out->reason = GrowthBlocker(state, input.now, assessment);
  if (out->reason.empty()) {
    GrowTo(StepIndex(state.share_permille) + 1, input, out);
  }
}

void AutomaticController::Bake(const MoveState& state, const MoveInput& input,
                               const VersionAssessment& assessment,
                               MoveDecision* out) const {
  if (input.now < state.step_since + schedule_.bake) {
    out->reason = "baking with the old version kept loaded";
  } else if (assessment.suspect) {
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
  out.next_evaluation = input.now + kSmallShareEvaluationPeriod;
  if (IsFinal(state.phase)) {
    out.reason = state.reason;
    return out;
  }
  UpdateSchedule(input);
  out.next_evaluation = input.now + EvaluationPeriod(state);
  const Duration spacing =
      (spec_.deadline - *started_) / ChangeMixture::kMaxStartPoints;
  const bool start_point =
      !last_start_point_ || input.now - *last_start_point_ >= spacing;
  if (start_point) {
    last_start_point_ = input.now;
  }
  const VersionAssessment assessment =
      analyzer_.Update(input.evidence, input.now, start_point);
  if (input.withdrawn) {
    RollBack(input, "the new version was withdrawn", &out);
  } else if (assessment.bad) {
    RollBack(input, assessment.reason, &out);
    out.withdraw = true;
  } else if (RollBackIfLate(state, input, &out)) {
    return out;
  } else if (!input.log_available) {
    out.reason = "the log is down, so the share stays";
  } else if (state.phase == MovePhase::kLoading) {
    GrowTo(0, input, &out);
  } else if (state.phase == MovePhase::kGrowing) {
    Grow(state, input, assessment, &out);
  } else {
    Bake(state, input, assessment, &out);
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
  // As many targets as the share can load fully, but at least one.
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
  // The interface includes a name and a seed, which this controller does not
  // use.
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
