#include "src/control/load_coordinator.h"

#include <utility>

#include "src/control/evidence_exchange.h"

namespace hornbeamcleat {
namespace {

constexpr int kMaxConsecutiveFailures = 5;  // queries run once a second

struct DeclaredTarget {
  const Resource* resource;
  const TargetSpec* spec;
};

// Targets declared with the new version of a move in progress.
std::vector<DeclaredTarget> FindMoveTargets(const ConfigState& config) {
  const std::set<std::string> models = MovingModels(config);
  std::vector<DeclaredTarget> out;
  for (const auto& [key, resource] : config.resources) {
    const TargetSpec* spec = std::get_if<TargetSpec>(&resource.spec);
    if (spec == nullptr || !models.contains(spec->model)) {
      continue;
    }
    const auto serving = config.serving.find(spec->model);
    if (serving == config.serving.end() || serving->second != spec->version) {
      out.push_back({&resource, spec});
    }
  }
  return out;
}

}  // namespace

LoadCoordinator::LoadCoordinator(Duration longest_order)
    : longest_order_(longest_order) {}

std::vector<TargetQuery> LoadCoordinator::TargetsToQuery(
    const ConfigState& config) const {
  std::vector<TargetQuery> out;
  for (const DeclaredTarget& target : FindMoveTargets(config)) {
    if (target.spec->kind == TargetKind::kEngine) {
      out.push_back({target.resource->name, target.spec->address,
                     target.spec->model, target.spec->version});
    }
  }
  return out;
}

void LoadCoordinator::OnTargetState(const TargetQuery& target, LoadState state,
                                    Time sent) {
  Observation& observation = observations_[{target.target, target.version}];
  if (sent >= observation.sent) {
    observation = {state, sent, 0};
  }
}

void LoadCoordinator::OnTargetQueryFailed(const TargetQuery& target) {
  ++observations_[{target.target, target.version}].failures;
}

std::vector<AddressedLoadCommand> LoadCoordinator::Plan(
    const ConfigState& config, std::uint64_t fencing, Time held_since,
    Time now) {
  std::map<std::string, LoadPlannerInput> inputs;  // by version
  std::map<TargetName, std::string> addresses;
  std::map<std::string, std::string> models;  // by version
  for (const DeclaredTarget& target : FindMoveTargets(config)) {
    if (target.spec->kind != TargetKind::kEngine) {
      continue;
    }
    LoadPlannerInput& input = inputs[target.spec->version];
    const auto it =
        observations_.find({target.resource->name, target.spec->version});
    ObservedTarget observed;
    observed.target = target.resource->name;
    observed.checks_fencing = target.spec->checks_fencing;
    if (it != observations_.end()) {
      observed.state = it->second.state;
      observed.observed = it->second.sent;
      observed.live = it->second.failures < kMaxConsecutiveFailures;
    }
    input.candidates.push_back(observed);
    addresses[target.resource->name] = target.spec->address;
    models[target.spec->version] = target.spec->model;
  }
  std::vector<AddressedLoadCommand> out;
  for (auto& [version, input] : inputs) {
    input.now = now;
    input.fencing = fencing;
    input.held_since = held_since;
    input.wanted = static_cast<int>(input.candidates.size());
    std::unique_ptr<LoadCommandPlanner>& planner = planners_[version];
    if (planner == nullptr) {
      LoadCommandPlannerOptions options;
      options.longest_order = longest_order_;
      planner = LoadCommandPlanner::Make(models[version], version, options);
    }
    const LoadCommandPlan plan = planner->PlanLoads(input);
    attainable_[version] = plan.attainable;
    for (const LoadCommand& order : plan.orders) {
      out.push_back({order, addresses[order.target]});
    }
  }
  return out;
}

std::map<std::string, int> LoadCoordinator::Ready(
    const ConfigState& config) const {
  std::map<std::string, int> out;
  for (const DeclaredTarget& target : FindMoveTargets(config)) {
    const auto it =
        observations_.find({target.resource->name, target.spec->version});
    const bool loaded =
        it != observations_.end() && it->second.state == LoadState::kLoaded;
    if (loaded || target.spec->kind == TargetKind::kService) {
      ++out[target.spec->version];
    }
  }
  return out;
}

}  // namespace hornbeamcleat
