#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_ROUTE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_ROUTE_H_

#include <string>

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

  bool operator==(const Route&) const = default;
};

/// Looks up workspace, application and tier.
/// @return false and the reason if one of them is missing
bool ResolveRoute(const ConfigState& config, const std::string& workspace,
                  const std::string& application, Route* route, Reason* reason);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_ROUTE_H_
