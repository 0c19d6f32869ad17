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

/// Streams of the platform's log that the control daemons keep.
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
  std::string api;  ///< address of this daemon's API, told to peers
  Duration log_stale_time =
      std::chrono::seconds(3);  ///< then it counts as down
  Duration apply_timeout = std::chrono::seconds(10);
  std::uint64_t seed = 1;

  bool operator==(const ControlOptions&) const = default;
};

/// How an append ended.
enum class AppendStatus { kDone, kFailed, kUnknown };

/// What became of an operator's change.
enum class ApplyStatus {
  kApplied,
  kConflict,  ///< another change came first
  kInvalid,
  kUnavailable,  ///< surely not accepted
  kUnknown,      ///< may be accepted; reading tells
};

/// Answer to an operator's change.
struct ApplyResult {
  ApplyStatus status = ApplyStatus::kUnknown;
  std::uint64_t revision = 0;  ///< of the accepted change
  std::string cause;

  bool operator==(const ApplyResult&) const = default;
};

/// What the core wants done outside. Calls return at once.
class ControlDelegate {
 public:
  virtual ~ControlDelegate() = default;

  /// Append to the log; answered with OnAppendFinished(token).
  virtual void Append(const std::string& stream,
                      std::vector<std::string> payloads,
                      std::uint64_t token) = 0;
  virtual void Send(const Datagram& datagram) = 0;
  virtual void SendToEntry(const LinkMessage& message) = 0;
  /// Send an order to a target; its effect is read back.
  virtual void SendLoadCommand(const AddressedLoadCommand& addressed) = 0;
  /// Get a peer's configuration from its API; answered with OnPeerState.
  virtual void FetchState(const std::string& api) = 0;
  /// A new configuration is in force.
  virtual void OnConfig(const std::shared_ptr<const ConfigState>& config,
                        const ConfigUpdate& update) = 0;
};

/// State of one member for `status`.
struct MemberStatus {
  Member member;
  std::uint64_t config_revision = 0;
  bool serving = false;

  bool operator==(const MemberStatus&) const = default;
};

/// State of this daemon for `status`.
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

  /// Takes the answer to a read that began at offset `from`.
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
  /// Takes what a target said of a version; `sent` is when it was asked.
  virtual void OnTargetState(const TargetQuery& target, LoadState state,
                             Time sent) = 0;

  /// A target could not be asked.
  virtual void OnTargetQueryFailed(const TargetQuery& target) = 0;

  /// Targets that should be read back now; none without the lease.
  virtual std::vector<TargetQuery> TargetsToQuery(Time now) const = 0;

  /// Does what is due by time. Call every 100 ms.
  virtual void Tick(Time now, WallTime wall) = 0;

  /// Whether this member holds the lease of the moves now. Ask again right
  /// before an act outside.
  virtual bool HoldsLease(Time now) const = 0;

  /// Proposes a change; `callback` is called once, when the log has decided.
  virtual void Apply(const ConfigRecord& record, ApplyCallback callback,
                     Time now) = 0;

  /// Announces the planned stop of this member.
  virtual void Leave(Time now) = 0;

  /// Configuration in force; null until it is known.
  virtual std::shared_ptr<const ConfigState> Config() const = 0;

  virtual ControlStatus Status() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_CONTROL_CORE_H_
