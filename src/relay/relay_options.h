#ifndef HORNBEAMCLEAT_SRC_RELAY_RELAY_OPTIONS_H_
#define HORNBEAMCLEAT_SRC_RELAY_RELAY_OPTIONS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "src/serving/admission.h"
#include "src/serving/cold_targets.h"
#include "src/serving/version_moves.h"

namespace hornbeamcleat {

/// Configuration of one VM's relay.
struct RelayOptions {
  std::string name;
  std::string failure_domain;
  /// Regions of failure domains, as far as they are known.
  std::map<std::string, std::string> regions;
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
  Duration directory_ttl{0};  ///< how long callers may cache an answer
  /// Silence after which a VM is no longer listed for callers at the latest.
  Duration max_listed_silence = Duration::max();
  Duration shutdown_grace{0};  ///< from SIGTERM to SIGKILL
  /// Time within which a change of the operators' topic must be in force, for
  /// keys and for evacuations.
  Duration operator_limit{0};
  /// Fraction of the time that callers have left for which they follow
  /// Retry-After; 0: unknown.
  double retry_wait_share = 0;
  /// How long a draining target may be sent requests.
  Duration target_drain_time{0};
  /// How long a target whose entry disappeared may be sent requests.
  Duration vanished_use{0};
  double retry_ratio = 0;  ///< retries per request, over all VMs
  double retry_slack = 0;  ///< additional retries in a window, over all VMs
  ColdBounds cold_bounds;
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
