#ifndef HORNBEAMCLEAT_SRC_SERVING_VM_DIRECTORY_H_
#define HORNBEAMCLEAT_SRC_SERVING_VM_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/serving_source.h"

namespace hornbeamcleat {

/// VMs that exist by the store's word, and what they last said themselves.
/// Decides whom callers may use, who still counts as a peer, and who is gone.
class VmDirectory {
 public:
  struct Options {
    Duration peer_silence{0};    ///< without a word, a peer's work is forgotten
    Duration caller_silence{0};  ///< ... callers are not sent there
    Duration gone_silence{0};    ///< ... its announcement is removed
  };

  VmDirectory(VmRecord self, const Options& options)
      : self_(std::move(self)), options_(options) {}

  /// VMs by the store's word.
  void SetMembers(const std::vector<VmRecord>& members, Time now);

  /// Takes a peer's message; false if it is older than one taken before.
  bool OnState(const PeerState& state, Time now);

  /// Links of all other VMs, heard or not.
  std::vector<std::string> Links() const;
  /// Links of the other VMs in this VM's failure domain.
  std::vector<std::string> LocalDomainLinks() const;
  /// Links of the VMs in other failure domains.
  std::vector<std::string> RemoteDomainLinks() const;
  /// Whether the VM with this link is in this VM's failure domain.
  bool IsLocalDomainLink(const std::string& link) const {
    const auto it = peers_.find(link);
    return it != peers_.end() && IsNear(it->second);
  }
  /// VMs in this VM's failure domain, this one included.
  int LocalDomainSize() const {
    return 1 + static_cast<int>(LocalDomainLinks().size());
  }

  /// Whether this VM is the first by link among those that are heard.
  bool IsLeader(Time now) const;

  /// Multiplies the silence that is allowed to VMs of other domains.
  void SetRemoteTimeoutFactor(int factor) { far_silence_factor_ = factor; }

  /// Links of peers that have fallen silent since the last call.
  std::vector<std::string> TakeTimedOut(Time now);

  /// Members that are gone for good; only if most others are heard, so that a
  /// VM that is cut off removes nobody.
  std::vector<VmRecord> ExpiredMembers(Time now) const;

  /// Addresses for callers in a failure domain, this VM's included if it is
  /// ready. Those of the domain itself come alone if there are enough.
  std::vector<std::string> CallerAddresses(const std::string& failure_domain,
                                           bool self_is_ready, Time now) const;

  /// VMs that may serve callers, this one included.
  int Members() const;
  /// Peers heard within the silence that is allowed.
  int ReachablePeers(Time now) const;

 private:
  struct Peer {
    VmRecord record;
    bool is_member = false;
    Time member_since;
    std::optional<PeerState> state;
    Time heard;
    bool was_silent = true;
  };

  bool IsNear(const Peer& peer) const {
    return peer.record.failure_domain == self_.failure_domain;
  }
  bool IsHeard(const Peer& peer, Duration silence, Time now) const {
    const Duration allowed =
        IsNear(peer) ? silence : silence * far_silence_factor_;
    return peer.state.has_value() && now - peer.heard < allowed;
  }

  const VmRecord self_;
  const Options options_;
  int far_silence_factor_ = 1;
  std::map<std::string, Peer> peers_;  ///< by link
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_VM_DIRECTORY_H_
