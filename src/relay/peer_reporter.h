#ifndef HORNBEAMCLEAT_SRC_RELAY_PEER_REPORTER_H_
#define HORNBEAMCLEAT_SRC_RELAY_PEER_REPORTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/base/timer_service.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/serving_source.h"
#include "src/serving/scale_plan.h"

namespace hornbeamcleat {

class AdmissionController;
class Clock;
class EvacuatedDomains;
class PeerLink;
class PollLoop;
class SharedReads;
class TargetBalancer;
class VersionMoves;
class VmDirectory;
class WaitQueue;

/// Sends this VM's state to its peers: changes immediately, the complete state
/// with each heartbeat. The scale plan sets the intervals and the recipients.
class PeerReporter {
 public:
  /// Sources of the reported state.
  struct Sources {
    AdmissionController* admission = nullptr;
    TargetBalancer* targets = nullptr;
    WaitQueue* queue = nullptr;
    const VersionMoves* moves = nullptr;
    const VmDirectory* directory = nullptr;
    std::function<bool()> is_ready;
    const EvacuatedDomains* evacuations = nullptr;  ///< none if nullptr
    SharedReads* reads = nullptr;
  };

  PeerReporter(PollLoop* loop, const Clock* clock, PeerLink* link,
               VmRecord self, Sources sources);

  void SetPlan(const ScalePlan& plan) { plan_ = plan; }

  /// Sends changes to work and queues, delayed if the minimum interval between
  /// two messages has not passed.
  void SendChangesSoon();
  /// Sends the complete state to all VMs immediately.
  void SendAll();
  /// Sends what is known of properties that crash targets to all VMs if it has
  /// changed, once this turn of the loop has ended.
  void SendLossesSoon();
  /// Sends new statements of targets to all VMs, once this turn of the loop has
  /// ended.
  void SendNoticesSoon();
  /// Sends what concerns shared reads of the store to one peer.
  void SendReads(const SharedReadsMessage& message, const std::string& link);
  /// Random ID of this process, as in its messages.
  std::uint64_t Incarnation() const { return incarnation_; }
  /// A peer has started and lacks what others know.
  void OnPeerStarted(const std::string& link);
  /// A peer is heard again after a while, and may lack losses that were
  /// reported meanwhile.
  void OnPeerReturned(const std::string& link);

 private:
  /// Until when, and when next, a peer is sent all losses.
  struct StartedPeer {
    Time until;
    Time next;
  };

  void SendHeartbeat();
  /// Returns whether `period` has passed since `*last`, and if so, sets it.
  bool TakeDue(Duration period, Time* last) const;
  void SendToLocalDomain(bool with_details);
  void SendToRemoteDomains(bool with_details);
  void SendLowQuotas();
  void SendLosses();
  void SendNotices();
  void SendLossesTo(std::map<std::string, StartedPeer>* peers);
  std::vector<std::string> Evacuations() const;
  PeerState MakeState();
  /// @param has_reports whether reports of targets are forwarded
  PeerState MakeLoadState(bool has_reports, Time now);
  /// @param failure_domain of the targets that are reported on; empty: all
  void AddDetails(const std::string& failure_domain, Time now,
                  PeerState* state) const;
  std::vector<std::string> LocalDomainLinks() const;

  PollLoop* const loop_;
  const Clock* const clock_;
  PeerLink* const link_;
  const VmRecord self_;
  const Sources sources_;
  ScalePlan plan_;
  std::uint64_t incarnation_ = 0;
  std::uint32_t sequence_ = 0;
  std::uint64_t sent_changes_ = 0;
  Time sent_at_;
  Time details_sent_at_;
  Time remote_sent_at_;
  Time remote_details_sent_at_;
  std::uint64_t sent_loss_changes_ = 0;
  Time losses_sent_at_;
  /// Changes to losses before this time have been sent once; on the clock of
  /// the losses.
  Time losses_sent_until_;
  /// Statements of targets before this time have been sent once.
  Time notices_sent_at_;
  Time notices_sent_until_;
  Time notices_due_;  ///< if `notices_timer_` is set
  Time started_at_;
  Time all_quotas_sent_at_;
  /// Peers that have started or returned recently.
  std::map<std::string, StartedPeer> started_peers_;
  std::map<std::string, StartedPeer> returned_peers_;
  std::unique_ptr<TimerService::Subscription> heartbeat_timer_;
  std::unique_ptr<TimerService::Subscription> send_timer_;
  std::unique_ptr<TimerService::Subscription> losses_timer_;
  std::unique_ptr<TimerService::Subscription> notices_timer_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_PEER_REPORTER_H_
