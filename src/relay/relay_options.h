#ifndef HORNBEAMCLEAT_SRC_RELAY_RELAY_OPTIONS_H_
#define HORNBEAMCLEAT_SRC_RELAY_RELAY_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "src/serving/admission.h"
#include "src/serving/version_moves.h"

namespace hornbeamcleat {

/// Settings of one VM's relay.
struct RelayOptions {
  std::string name;
  std::string failure_domain;
  Address front;
  Address ready;
  Address directory;
  Address link;  ///< for peers, UDP
  Address metrics;
  Address store;
  std::size_t memory_bytes = 0;  ///< limit of the process
  int max_connections = 0;
  Duration directory_keep{0};  ///< how long callers keep an answer
  Duration grace{0};           ///< from SIGTERM to SIGKILL
  /// How long a target that leaves may be given work.
  Duration leave_time{0};
  /// How long a target whose entry vanished may be given work.
  Duration vanished_use{0};
  double retry_ratio = 0;  ///< retries for each request, over all VMs
  double retry_slack = 0;  ///< further retries in a window, over all VMs
  double quota_slack =
      0;  ///< tokens that a workspace may have beyond its quota
  VersionMoves::Options moves;
  AdmissionController::Options admission;
};

/// Rules of the settings file.
std::vector<SettingRule> RelaySettingRules();

/// @throws Error if two settings contradict each other
RelayOptions MakeRelayOptions(const Settings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_RELAY_OPTIONS_H_
