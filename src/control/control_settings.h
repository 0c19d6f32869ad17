#ifndef HORNBEAMCLEAT_SRC_CONTROL_CONTROL_SETTINGS_H_
#define HORNBEAMCLEAT_SRC_CONTROL_CONTROL_SETTINGS_H_

#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "src/control/api_server.h"
#include "src/control/control_core.h"

namespace hornbeamcleat {

/// Settings table of hornbeamcleat-control.
const std::vector<SettingRule>& ControlSettingRules();

/// Options of hornbeamcleat-control.
struct ControlDaemonOptions {
  ControlOptions core;
  ApiOptions api;
  Address platform;
  Duration platform_timeout{0};
  Address gossip_listen;
  Address link_listen;
  Address entry_admin;
  Duration vm_list_period{0};
  std::int64_t weight_bytes_per_second = 0;  ///< 0 means no limit

  bool operator==(const ControlDaemonOptions&) const = default;
};

/// Converts validated settings to options.
/// @param incarnation increases with each start of the daemon
ControlDaemonOptions ReadControlOptions(const Settings& settings,
                                        std::uint64_t incarnation);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_CONTROL_SETTINGS_H_
