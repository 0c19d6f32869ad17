#ifndef HORNBEAMCLEAT_SRC_CONTROL_CONTROL_CORE_H_
#define HORNBEAMCLEAT_SRC_CONTROL_CONTROL_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/agree/intents.h"
#include "hornbeamcleat/agree/lease.h"
#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/config/config_tail.h"
#include "hornbeamcleat/member/membership.h"
#include "hornbeamcleat/platform/log_service.h"
#include "hornbeamcleat/platform/vm_list.h"
#include "src/control/load_coordinator.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {

class Metrics;

/// Streams of the platform's log that the control daemons write.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kLeaseStream[] = "leases";
inline constexpr char kIntentStream[] = "intents";

/// Settings of a control core.
struct ControlOptions {
  Member self;
  MembershipOptions membership;
  LeaseOptions lease;
  IntentOptions intents;
  ConfigTailOptions config;
  std::string api;  ///< address of this daemon's API, sent to peers
  /// Time without a read of the log after which it counts as unavailable.
  Duration log_stale_time = std::chrono::seconds(3);
  Duration apply_timeout = std::chrono::seconds(10);
  std::uint64_t seed = 1;

  bool operator==(const ControlOptions&) const = default;
};

/// Outcome of an append to the log.
enum class AppendStatus { kDone, kFailed, kUnknown };

/// Outcome of an operator's change.
enum class ApplyStatus {
  kApplied,
  kConflict,  ///< another change came first
  kInvalid,
  kUnavailable,  ///< definitely not accepted
  kUnknown,      ///< may have been accepted; read the resource to find out
};

/// Result of an operator's change.
struct ApplyResult {
  ApplyStatus status = ApplyStatus::kUnknown;
  std::uint64_t revision = 0;  ///< of the accepted change
  std::string cause;

  bool operator==(const ApplyResult&) const = default;
};

/// Performs the I/O of a ControlCore. Calls do not block.
class ControlDelegate {
 public:
  virtual ~ControlDelegate() = default;

  /// Appends to the log; completes with OnAppendFinished(token).
  virtual void Append(const std::string& stream,
                      std::vector<std::string> payloads,
                      std::uint64_t token) = 0;
  virtual void Send(const Datagram& datagram) = 0;
  virtual void SendToEntry(const LinkMessage& message) = 0;
  /// Sends a command to a target; its effect is queried separately.
  virtual void SendLoadCommand(const AddressedLoadCommand& addressed) = 0;
  /// Fetches a peer's configuration from its API; completes with OnPeerState.
  virtual void FetchState(const std::string& api) = 0;
  /// Called when the current configuration has changed.
  virtual void OnConfig(const std::shared_ptr<const ConfigState>& config,
                        const ConfigUpdate& update) = 0;
};

/// State of one member, for the status API.
struct MemberStatus {
  Member member;
  std::uint64_t config_revision = 0;
  bool serving = false;

  bool operator==(const MemberStatus&) const = default;
};

/// State of this daemon, for the status API.
struct ControlStatus {
  std::uint64_t config_revision = 0;
  bool ready = false;
  bool log_available = false;
  bool entry_connected = false;
  std::string lease_holder;
  std::vector<MemberStatus> members;
  std::vector<std::pair<std::string, std::string>> withdrawn;
};

/// The control daemon without its I/O: configuration, membership, leases,
/// intents and moves of one VM. Not thread-safe; the control thread owns it.
class ControlCore {
 public:
  using ApplyCallback = std::function<void(const ApplyResult&)>;

  /// @param delegate, metrics must outlive the core
  static std::unique_ptr<ControlCore> Make(const ControlOptions& options,
                                           ControlDelegate* delegate,
                                           Metrics* metrics);

  virtual ~ControlCore() = default;

  /// Offset at which the next read of `stream` should start.
  virtual std::uint64_t NextOffset(const std::string& stream) const = 0;

  /// Handles the result of a read that began at offset `from`.
  virtual void OnLogRead(const std::string& stream, std::uint64_t from,
                         const LogRead& read, Time now) = 0;
  virtual void OnAppendFinished(std::uint64_t token, AppendStatus status,
                                std::uint64_t offset, Time now) = 0;
  virtual void OnDatagram(const Address& from, std::string_view bytes,
                          Time now) = 0;
  virtual void OnEntryConnected(bool connected, Time now) = 0;
  virtual void OnEntryMessage(const LinkMessage& message, Time now) = 0;
  virtual void OnVms(const std::vector<VmEntry>& vms) = 0;
  virtual void OnPeerState(const ConfigState& state, Time now) = 0;
  /// Handles the result of a target query that was sent at `sent`.
  virtual void OnTargetState(const TargetQuery& target, LoadState state,
                             Time sent) = 0;

  /// Handles a failed target query.
  virtual void OnTargetQueryFailed(const TargetQuery& target) = 0;

  /// Targets to query now; empty without the lease.
  virtual std::vector<TargetQuery> TargetsToQuery(Time now) const = 0;

  /// Runs periodic work. Call every 100 ms.
  virtual void Tick(Time now, WallTime wall) = 0;

  /// Whether this member holds the lease of the moves at `now`. Check again
  /// immediately before an external side effect.
  virtual bool HoldsLease(Time now) const = 0;

  /// Proposes a change; `callback` is called once, with its outcome.
  virtual void Apply(const ConfigRecord& record, ApplyCallback callback,
                     Time now) = 0;

  /// Announces the planned stop of this member.
  virtual void Leave(Time now) = 0;

  /// Current configuration; null until it has been loaded.
  virtual std::shared_ptr<const ConfigState> Config() const = 0;

  virtual ControlStatus Status() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_CONTROL_CORE_H_
