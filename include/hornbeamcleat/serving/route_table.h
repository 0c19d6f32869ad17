#ifndef HORNBEAMCLEAT_SERVING_ROUTE_TABLE_H_
#define HORNBEAMCLEAT_SERVING_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {

/// Configuration indexed for lookup. Immutable and shared between threads.
class RouteTable {
 public:
  explicit RouteTable(ServingConfig config);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// Returns the host's route with the longest prefix matching the path, or
  /// nullptr. The cost is proportional to the number of slashes in the path,
  /// not to the number of routes.
  /// @param path without the query string
  const ServingRoute* Find(std::string_view host, std::string_view path) const;

  /// Returns the workspace that owns the key, or nullptr.
  const ServingWorkspace* FindWorkspace(std::string_view key) const;

  /// Returns the service with this name, or nullptr.
  const ServiceSpec* FindService(std::string_view name) const;

  const ServingConfig& Config() const { return config_; }

 private:
  const ServingConfig config_;
  /// Keyed by host + path prefix. A host contains no slash and a prefix begins
  /// with one, so the concatenation is unambiguous.
  std::unordered_map<std::string, const ServingRoute*> routes_;
  std::unordered_map<std::string, const ServingWorkspace*> workspaces_;
  std::map<std::string, const ServiceSpec*, std::less<>> services_;
};

/// Picks a service for a request by the weights of the route's shares.
/// Deterministic for a given seed.
/// @return empty if the route has no share of positive weight
std::string PickService(const ServingRoute& route, std::uint64_t seed);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_ROUTE_TABLE_H_
