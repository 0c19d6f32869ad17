#include "src/schedule/route.h"

#include <algorithm>
#include <variant>
#include <vector>

namespace hornbeamcleat {
namespace {

template <typename Spec>
const Spec* FindSpec(const ConfigState& config, const char* kind,
                     const std::string& name) {
  const Resource* resource = config.Find(kind, name);
  return resource == nullptr ? nullptr : std::get_if<Spec>(&resource->spec);
}

const ApplicationSpec* FindApplication(const WorkspaceSpec& workspace,
                                       const std::string& name) {
  const auto it =
      std::find_if(workspace.applications.begin(), workspace.applications.end(),
                   [&](const ApplicationSpec& a) { return a.name == name; });
  return it == workspace.applications.end() ? nullptr : &*it;
}

}  // namespace

bool ResolveRoute(const ConfigState& config, const std::string& workspace,
                  const std::string& application, Route* route,
                  Reason* reason) {
  const WorkspaceSpec* owner =
      FindSpec<WorkspaceSpec>(config, "Workspace", workspace);
  if (owner == nullptr) {
    *reason = Reason::kUnknownWorkspace;
    return false;
  }
  const ApplicationSpec* app = FindApplication(*owner, application);
  if (app == nullptr) {
    *reason = Reason::kUnknownApplication;
    return false;
  }
  const TierSpec* tier = FindSpec<TierSpec>(config, "Tier", owner->tier);
  if (tier == nullptr) {
    *reason = Reason::kUnknownWorkspace;
    return false;
  }
  *route = Route{workspace,
                 application,
                 app->model,
                 tier->rank,
                 owner->weight,
                 app->idempotent,
                 tier->default_deadline};
  return true;
}

}  // namespace hornbeamcleat
