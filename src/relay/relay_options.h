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

/// Configuration of one VM's relay.
struct RelayOptions {
  std::string name;
  std::string failure_domain;
  Address caller_address;
  Address ready_address;
  Address directory_address;
  Address peer_address;  ///< UDP, for peers
  Address metrics_address;
  Address store;
  std::size_t memory_bytes = 0;  ///< memory limit of the process
  int max_connections = 0;       ///< of the front listener
  /// Part of the memory that callers may make the process hold, on all
  /// listeners.
  double caller_memory_share = 0.2;
  int admin_connections = 64;      ///< of the readiness and metrics listeners
  int directory_connections = 96;  ///< of the directory listener
  /// Kernel buffer of a caller's connection, each way; 0: the default.
  int socket_buffer_bytes = 0;
  Duration directory_ttl{0};   ///< how long callers may cache an answer
  Duration shutdown_grace{0};  ///< from SIGTERM to SIGKILL
  /// How long a draining target may be sent requests.
  Duration target_drain_time{0};
  /// How long a target whose entry disappeared may be sent requests.
  Duration vanished_use{0};
  double retry_ratio = 0;  ///< retries per request, over all VMs
  double retry_slack = 0;  ///< additional retries in a window, over all VMs
  double quota_slack = 0;  ///< tokens that a workspace may use beyond its quota
  VersionMoves::Options moves;
  AdmissionController::Options admission;
};

/// Schema of the settings file.
std::vector<SettingRule> RelaySettingRules();

/// @throws Error if two settings contradict each other
RelayOptions MakeRelayOptions(const Settings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_RELAY_OPTIONS_H_
