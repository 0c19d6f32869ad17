#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_ROUTE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_ROUTE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/schedule/outcome.h"

namespace hornbeamcleat {

/// Configuration of one workspace's application.
struct Route {
  std::string workspace;
  std::string application;
  std::string model;
  int rank = 0;
  double weight = 1;
  bool idempotent = true;
  Duration default_deadline{0};

  /// Hashes used in place of the names as table keys.
  std::uint64_t workspace_hash = 0;
  std::uint64_t hash = 0;  ///< of workspace, application, model and rank

  bool operator==(const Route&) const = default;
};

/// Looks up routes in the configuration and caches a bounded number of them.
class RouteCache {
 public:
  static constexpr std::size_t kMaxRoutes = 16'384;

  /// Sets a new configuration and clears the cache. Requests keep the route
  /// they already hold.
  void SetConfig(std::shared_ptr<const ConfigState> config);

  /// Looks up workspace, application and tier.
  /// @return nullptr and the reason if one of them is missing
  std::shared_ptr<const Route> Find(const std::string& workspace,
                                    const std::string& application,
                                    Reason* reason);

 private:
  std::shared_ptr<const ConfigState> config_;
  std::unordered_map<std::uint64_t, std::shared_ptr<const Route>> routes_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_ROUTE_H_
