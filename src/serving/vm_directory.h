#ifndef HORNBEAMCLEAT_SRC_SERVING_VM_DIRECTORY_H_
#define HORNBEAMCLEAT_SRC_SERVING_VM_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/serving_source.h"
#include "src/serving/cold_targets.h"
#include "src/serving/shared_rate.h"

namespace hornbeamcleat {

/// Where a caller says that it is.
struct CallerPlace {
  std::string failure_domain;  ///< empty: unknown
  std::string region;          ///< empty: unknown

  bool operator==(const CallerPlace&) const = default;
};

/// VMs registered in the store and their last messages. Determines which VMs
/// callers may use, which count as reachable peers, and which have permanently
/// left.
class VmDirectory {
 public:
  struct Options {
    Duration peer_timeout{0};    ///< without messages, a peer's load is dropped
    Duration caller_timeout{0};  ///< ... callers are no longer sent to it
    Duration removal_timeout{0};  ///< ... its registration is removed
  };

  VmDirectory(VmRecord self, const Options& options)
      : self_(std::move(self)), options_(options) {}

  /// Sets the VMs registered in the store.
  void SetMembers(const std::vector<VmRecord>& members, Time now);

  /// Applies a peer's message. Returns false if it is older than one already
  /// applied.
  bool OnState(const PeerState& state, Time now);

  /// Whether a message comes from a process not heard of before: a peer that is
  /// new here or has restarted.
  bool IsNewIncarnation(const PeerState& state) const;

  /// Whether a message comes from a peer that was silent for a while.
  bool IsReturning(const PeerState& state) const;

  /// Whether this VM is one of the few that report to a VM that has started.
  /// VMs that have themselves been up for less than `min_uptime` don't count.
  bool IsReporterTo(const std::string& link, Duration min_uptime,
                    Time now) const;

  /// Number of reachable VMs that come before this one in the order that the
  /// rendezvous hash gives for a key.
  int RankFor(std::uint64_t key, Time now) const;

  /// How this VM stands to those that may send requests to a target.
  /// @param key of the rendezvous order
  /// @param failure_domain only VMs of this domain take part, if it has any;
  ///   empty: all VMs
  /// @param takes_requests whether this VM does
  VmShare ShareOf(std::uint64_t key, const std::string& failure_domain,
                  bool takes_requests, Time now) const;

  /// Position of this VM among all registered VMs, which doesn't depend on what
  /// it hears.
  /// @param takes_part whether this VM may hold turns
  VmOrder OrderFor(std::uint64_t key, bool takes_part, Time now) const;

  /// Links of all other VMs, reachable or not.
  std::vector<std::string> Links() const;
  /// Links of the other VMs in this VM's failure domain.
  std::vector<std::string> LocalDomainLinks() const;
  /// A VM that is heard from.
  struct HeardPeer {
    std::string link;
    bool is_ready = false;
  };
  /// Reachable VMs of this VM's failure domain, without this one.
  std::vector<HeardPeer> HeardLocalPeers(Time now) const;
  /// Links of the VMs in other failure domains.
  std::vector<std::string> RemoteDomainLinks() const;
  /// Whether the VM with this link is in this VM's failure domain.
  bool IsLocalDomainLink(const std::string& link) const {
    const auto it = peers_.find(link);
    return it != peers_.end() && IsLocalDomain(it->second);
  }
  /// Number of VMs in this VM's failure domain, including this one.
  int LocalDomainSize() const { return 1 + local_peers_; }

  /// Whether this VM has the lowest link among the reachable VMs.
  bool IsLeader(Time now) const;

  /// Sets the factor on the timeouts of VMs in other domains.
  void SetRemoteTimeoutFactor(int factor) { remote_timeout_factor_ = factor; }

  /// Returns the links of peers that have timed out since the last call.
  std::vector<std::string> TakeTimedOut(Time now);

  /// Members that have permanently left. Empty unless at least half of the
  /// peers are reachable, so that a partitioned VM removes nobody.
  std::vector<VmRecord> ExpiredMembers(Time now) const;

  /// Sets the regions of failure domains.
  void SetRegions(std::map<std::string, std::string> regions) {
    regions_ = std::move(regions);
  }
  /// Sets the silence after which a VM is not listed for callers, whatever its
  /// domain and the number of VMs.
  void SetMaxListedSilence(Duration silence) { max_listed_silence_ = silence; }
  /// Sets for how long in all this VM was suspended. The clock of the other
  /// arguments stands still meanwhile, but VMs may leave.
  void SetSuspendedTime(Duration time) { suspended_time_ = time; }

  /// Caller-facing addresses for a caller, including this VM's if it is ready.
  /// Addresses in other regions are listed only if the caller's has none, and
  /// those in other failure domains only if its domain has too few.
  std::vector<std::string> CallerAddresses(const CallerPlace& caller,
                                           bool self_is_ready, Time now) const;

  /// Number of known VMs, including this one.
  int Members() const;
  /// Number of peers heard from within their timeout.
  int ReachablePeers(Time now) const;

 private:
  /// What is kept of a peer's latest message.
  struct Heard {
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    bool is_ready = false;
    Time at;
    Time incarnation_since;
    Duration suspended_before{0};  ///< suspended time at `at`
  };

  struct Peer {
    VmRecord record;
    bool is_member = false;
    Time member_since;
    std::optional<Heard> heard;
    bool is_timed_out = true;
  };

  void SetRecord(const VmRecord& record, Peer* peer);

  bool IsLocalDomain(const Peer& peer) const {
    return peer.record.failure_domain == self_.failure_domain;
  }
  bool IsReachable(const Peer& peer, Duration timeout, Time now) const {
    const Duration allowed =
        IsLocalDomain(peer) ? timeout : timeout * remote_timeout_factor_;
    return peer.heard.has_value() && now - peer.heard->at < allowed;
  }

  /// Whether callers may be sent to the VM.
  bool IsListed(const Peer& peer, Time now) const;
  bool IsInRegion(const VmRecord& vm, const std::string& region) const;

  const VmRecord self_;
  const Options options_;
  int remote_timeout_factor_ = 1;
  std::map<std::string, std::string> regions_;  ///< keyed by failure domain
  Duration max_listed_silence_ = Duration::max();
  Duration suspended_time_{0};
  std::map<std::string, Peer> peers_;  ///< keyed by link
  /// Peers in this VM's failure domain. Counted as records change, since the
  /// number is read for each message.
  int local_peers_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_VM_DIRECTORY_H_
