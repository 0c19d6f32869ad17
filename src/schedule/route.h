#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_ROUTE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_ROUTE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/schedule/outcome.h"

namespace hornbeamcleat {

/// What the configuration says of one workspace's application.
struct Route {
  std::string workspace;
  std::string application;
  std::string model;
  int rank = 0;
  double weight = 1;
  bool idempotent = true;
  Duration default_deadline{0};

  /// Hashes that stand for the names in tables.
  std::uint64_t workspace_hash = 0;
  std::uint64_t hash = 0;  ///< of workspace, application, model and rank

  bool operator==(const Route&) const = default;
};

/// Looks up routes in the configuration and keeps the ones in use, bounded in
/// number.
class RouteCache {
 public:
  static constexpr std::size_t kMaxRoutes = 16'384;

  /// Takes a new configuration; routes that requests hold stay as they were.
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
