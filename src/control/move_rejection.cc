#include "src/control/move_rejection.h"

#include <fmt/format.h>

#include "hornbeamcleat/move/move_admission.h"
#include "src/control/evidence_exchange.h"

namespace hornbeamcleat {
namespace {

LoadPlan PlanOf(const MoveSpec& spec, const ConfigState& config,
                std::int64_t weight_bytes_per_second) {
  LoadPlan plan;
  plan.store_bytes_per_second = weight_bytes_per_second;
  if (const Resource* version = config.Find("Version", spec.to_version)) {
    plan.weight_bytes = std::get<VersionSpec>(version->spec).weight_bytes;
  }
  for (const auto& [key, resource] : config.resources) {
    const TargetSpec* target = std::get_if<TargetSpec>(&resource.spec);
    if (target != nullptr && target->model == spec.model &&
        target->version == spec.to_version) {
      ++plan.targets;
    }
  }
  return plan;
}

}  // namespace

std::string MoveRejectionReason(const Resource& resource,
                                const ConfigState& config,
                                std::int64_t weight_bytes_per_second,
                                WallTime now) {
  const MoveSpec* spec = std::get_if<MoveSpec>(&resource.spec);
  if (spec == nullptr) {
    return "";
  }
  if (config.withdrawn.contains({spec->model, spec->to_version})) {
    return fmt::format("version {} was withdrawn; declare a new one",
                       spec->to_version);
  }
  const LoadPlan plan = PlanOf(*spec, config, weight_bytes_per_second);
  if (plan.targets == 0) {
    return fmt::format("no target is declared with version {}",
                       spec->to_version);
  }
  if (resource.version == 0 && MovingModels(config).contains(spec->model)) {
    return fmt::format("a move of {} is in progress", spec->model);
  }
  const MoveAdmission admission = AdmitMove(*spec, now, plan);
  if (admission.admitted) {
    return "";
  }
  return fmt::format("{}; earliest deadlineUnixMs {}", admission.reason,
                     admission.earliest_deadline.time_since_epoch().count());
}

}  // namespace hornbeamcleat
