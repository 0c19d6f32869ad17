#include "hornbeamcleat/move/load_command_planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace hornbeamcleat {
namespace {

class LevelTriggeredPlanner : public LoadCommandPlanner {
 public:
  LevelTriggeredPlanner(std::string model, std::string version,
                        const LoadCommandPlannerOptions& options)
      : model_(std::move(model)),
        version_(std::move(version)),
        options_(options) {}

  LoadCommandPlan PlanLoads(const LoadPlannerInput& input) override;
  LoadCommandPlan PlanUnloads(const LoadPlannerInput& input) override;

 private:
  struct CommandState {
    std::optional<Time> last;     ///< when the last command was sent
    std::optional<Time> loading;  ///< when it was first seen loading
    int orders = 0;  ///< commands sent since it last had the version
    bool failed = false;
  };

  void UpdateState(const ObservedTarget& target, Time now);
  bool MayRepeat(const ObservedTarget& target, const CommandState& state) const;
  bool MayCommand(const ObservedTarget& target,
                  const LoadPlannerInput& input) const;
  bool IsInProgress(const ObservedTarget& target) const;
  LoadCommand MakeCommand(const ObservedTarget& target,
                          const LoadPlannerInput& input, bool load);
  std::vector<const ObservedTarget*> ChooseTargets(
      const LoadPlannerInput& input) const;

  std::string model_;
  std::string version_;
  LoadCommandPlannerOptions options_;
  std::map<TargetName, CommandState> command_states_;
};

// Updates the state of a target from its last observation.
void LevelTriggeredPlanner::UpdateState(const ObservedTarget& target,
                                        Time now) {
  CommandState& state = command_states_[target.target];
  if (!target.live || target.state == LoadState::kLoaded) {
    state.loading.reset();
    state.orders = 0;
    state.failed = false;
    return;
  }
  if (target.state != LoadState::kLoading) {
    state.loading.reset();
  } else if (!state.loading) {
    state.loading = now;
  } else if (now - *state.loading > options_.load_timeout) {
    state.failed = true;
  }
  if (state.orders >= options_.max_orders && MayRepeat(target, state)) {
    state.failed = true;
  }
}

// Whether the target was read after the last command to it expired.
bool LevelTriggeredPlanner::MayRepeat(const ObservedTarget& target,
                                      const CommandState& state) const {
  return !state.last || target.observed >= *state.last + options_.longest_order;
}

bool LevelTriggeredPlanner::MayCommand(const ObservedTarget& target,
                                       const LoadPlannerInput& input) const {
  const Time fencing_expiry = input.held_since + options_.longest_order;
  if (!target.checks_fencing &&
      (input.now < fencing_expiry || target.observed < fencing_expiry)) {
    return false;
  }
  return MayRepeat(target, command_states_.at(target.target));
}

bool LevelTriggeredPlanner::IsInProgress(const ObservedTarget& target) const {
  if (!target.live || target.state == LoadState::kLoaded) {
    return false;
  }
  const CommandState& state = command_states_.at(target.target);
  return target.state == LoadState::kLoading || !MayRepeat(target, state);
}

LoadCommand LevelTriggeredPlanner::MakeCommand(const ObservedTarget& target,
                                               const LoadPlannerInput& input,
                                               bool load) {
  CommandState& state = command_states_[target.target];
  state.last = input.now;
  ++state.orders;
  return {target.target, model_, version_, load, input.fencing};
}

// Chooses the candidates that should have the version. Prefers those that have
// it, then those that are loading it, then the others in their given order.
std::vector<const ObservedTarget*> LevelTriggeredPlanner::ChooseTargets(
    const LoadPlannerInput& input) const {
  std::vector<const ObservedTarget*> out;
  for (const ObservedTarget& target : input.candidates) {
    if (target.live && !command_states_.at(target.target).failed) {
      out.push_back(&target);
    }
  }
  const auto rank = [this](const ObservedTarget* target) {
    if (target->state == LoadState::kLoaded) {
      return 0;
    }
    return IsInProgress(*target) ? 1 : 2;
  };
  std::stable_sort(out.begin(), out.end(),
                   [&rank](const ObservedTarget* a, const ObservedTarget* b) {
                     return rank(a) < rank(b);
                   });
  const std::size_t wanted =
      static_cast<std::size_t>(std::max(0, input.wanted));
  out.resize(std::min(out.size(), wanted));
  return out;
}

LoadCommandPlan LevelTriggeredPlanner::PlanLoads(
    const LoadPlannerInput& input) {
  LoadCommandPlan plan;
  int loading = 0;
  for (const ObservedTarget& target : input.candidates) {
    UpdateState(target, input.now);
    plan.ready += target.live && target.state == LoadState::kLoaded ? 1 : 0;
    // A load that failed here may still be using the weight store.
    loading += IsInProgress(target) ? 1 : 0;
    if (command_states_[target.target].failed) {
      plan.excluded.push_back(target.target);
    }
  }
  const std::vector<const ObservedTarget*> chosen = ChooseTargets(input);
  plan.attainable = static_cast<int>(chosen.size());
  for (const ObservedTarget* target : chosen) {
    if (target->state == LoadState::kAbsent && loading < options_.max_loading &&
        MayCommand(*target, input)) {
      plan.orders.push_back(MakeCommand(*target, input, true));
      ++loading;
    }
  }
  return plan;
}

LoadCommandPlan LevelTriggeredPlanner::PlanUnloads(
    const LoadPlannerInput& input) {
  LoadCommandPlan plan;
  int kept = 0;
  for (const ObservedTarget& target : input.candidates) {
    command_states_.try_emplace(target.target);
    const bool has_version = target.live && target.state == LoadState::kLoaded;
    if (has_version && kept < input.wanted) {
      ++kept;
    } else if (has_version && MayCommand(target, input)) {
      plan.orders.push_back(MakeCommand(target, input, false));
    }
    plan.ready += has_version ? 1 : 0;
  }
  plan.attainable = kept;
  return plan;
}

}  // namespace

std::unique_ptr<LoadCommandPlanner> LoadCommandPlanner::Make(
    const std::string& model, const std::string& version,
    const LoadCommandPlannerOptions& options) {
  return std::make_unique<LevelTriggeredPlanner>(model, version, options);
}

}  // namespace hornbeamcleat
