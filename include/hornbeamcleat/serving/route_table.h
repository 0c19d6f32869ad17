#ifndef HORNBEAMCLEAT_SERVING_ROUTE_TABLE_H_
#define HORNBEAMCLEAT_SERVING_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {

/// Configuration compiled for look-ups. Immutable, shared between threads.
class RouteTable {
 public:
  explicit RouteTable(ServingConfig config);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// Route of the host with the longest prefix of the path, or nullptr. Cost
  /// grows with the path's slashes, not with the number of routes.
  /// @param path without query
  const ServingRoute* Find(std::string_view host, std::string_view path) const;

  /// Workspace that holds the key, or nullptr.
  const ServingWorkspace* FindWorkspace(std::string_view key) const;

  /// Service by name, or nullptr.
  const ServiceSpec* FindService(std::string_view name) const;

  const ServingConfig& Config() const { return config_; }

 private:
  const ServingConfig config_;
  /// By "host" + "prefix"; a host contains no slash, so the two can't mix.
  std::unordered_map<std::string, const ServingRoute*> routes_;
  std::unordered_map<std::string, const ServingWorkspace*> workspaces_;
  std::map<std::string, const ServiceSpec*, std::less<>> services_;
};

/// Service for a request: one of the route's shares by weight. The same seed
/// gives the same service.
/// @return empty if the route has no share of positive weight
std::string PickService(const ServingRoute& route, std::uint64_t seed);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_ROUTE_TABLE_H_
