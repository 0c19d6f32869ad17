#include "src/schedule/route.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "hornbeamcleat/base/hash.h"

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

/// Fills in the route.
/// @return false and the reason if a name is missing
bool Resolve(const ConfigState& config, const std::string& workspace,
             const std::string& application, Route* route, Reason* reason) {
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
  route->workspace = workspace;
  route->application = application;
  route->model = app->model;
  route->rank = tier->rank;
  route->weight = owner->weight;
  route->idempotent = app->idempotent;
  route->default_deadline = tier->default_deadline;
  route->workspace_hash = Hash64(workspace);
  route->hash = Hash64(application, Hash64(app->model, route->workspace_hash)) +
                static_cast<std::uint64_t>(tier->rank);
  return true;
}

}  // namespace

void RouteCache::SetConfig(std::shared_ptr<const ConfigState> config) {
  if (config != config_) {
    config_ = std::move(config);
    routes_.clear();
  }
}

std::shared_ptr<const Route> RouteCache::Find(const std::string& workspace,
                                              const std::string& application,
                                              Reason* reason) {
  if (config_ == nullptr) {
    *reason = Reason::kNotReady;
    return nullptr;
  }
  const std::uint64_t key = Hash64(application, Hash64(workspace));
  const auto known = routes_.find(key);
  if (known != routes_.end() && known->second->workspace == workspace &&
      known->second->application == application) {
    return known->second;
  }
  auto route = std::make_shared<Route>();
  if (!Resolve(*config_, workspace, application, route.get(), reason)) {
    return nullptr;
  }
  if (routes_.size() >= kMaxRoutes) {
    routes_.clear();
  }
  routes_[key] = route;
  return route;
}

}  // namespace hornbeamcleat
