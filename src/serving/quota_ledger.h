#ifndef HORNBEAMCLEAT_SRC_SERVING_QUOTA_LEDGER_H_
#define HORNBEAMCLEAT_SRC_SERVING_QUOTA_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {

/// Verdict on one request under its workspace's quota.
struct QuotaVerdict {
  bool is_admitted = true;
  Duration retry_after{0};    ///< until the quota covers the request
  double level = 0;           ///< left after the verdict
  int unreachable_peers = 0;  ///< whose share was set aside

  bool operator==(const QuotaVerdict&) const = default;
};

/// Quotas of workspaces, kept over all VMs without a coordinator. Each VM runs
/// the whole bucket and takes out what its peers say they have admitted.
///
/// Load pattern: one workspace sends many times its usual through all VMs at
/// once, also while VMs can't hear each other. The share of a VM that isn't
/// heard is set aside, so that the sum over all VMs stays within the quota.
/// Where VMs of other failure domains are heard late, what they admitted is
/// taken out late too, so each domain also keeps to a bucket of its own: larger
/// than its part, since traffic is uneven, and small enough for what all can
/// give out before they hear of each other.
class QuotaLedger {
 public:
  /// Part of the burst that a fresh process starts with if no peer tells what
  /// is left: what was given out before is unknown, and all may start at once.
  static constexpr double kStartShare = 0.25;

  /// Sets when this process started; a workspace that nobody has used since
  /// then has saved up its burst.
  void SetStart(Time start) { start_ = start; }

  /// Sets what may be admitted beyond the burst. The bound on a workspace has
  /// some slack; a part of it covers large requests of small workspaces.
  void SetSlack(double slack) { slack_ = slack; }

  /// Number of VMs that may admit requests, this one included, and of those
  /// among them that are told of each admission at once.
  void SetMembers(int members, int near) {
    members_ = members;
    near_ = near;
  }

  /// What a message of a peer is to the ledger.
  struct PeerMessage {
    std::uint64_t incarnation = 0;
    /// Whether it names all workspaces, not only those that changed.
    bool is_whole = false;
    /// Whether the peer is in this VM's domain and tells of each admission at
    /// once.
    bool is_near = false;
  };

  /// Takes the totals of a peer. Until its first whole message in an
  /// incarnation, or after a silence, totals of workspaces that were not named
  /// before only set where counting goes on.
  void SetPeerUsage(const std::string& peer, const PeerMessage& message,
                    const std::vector<WorkspaceUsage>& uses);

  /// The peer is no longer heard; its share is set aside.
  void ForgetPeer(const std::string& peer);

  /// Admits or refuses a request that costs `cost` requests or tokens.
  QuotaVerdict Admit(const ServingWorkspace& workspace, double cost, Time now);

  /// Returns what a request was charged that never reached a target.
  void Refund(const std::string& workspace, double cost);

  /// All totals of this VM.
  /// @param reaches_far whether VMs of other domains are told too
  std::vector<WorkspaceUsage> TakeAllUsage(bool reaches_far);
  /// Totals that changed since VMs of the own domain were told.
  std::vector<WorkspaceUsage> TakeLocalDomainUsage();
  /// Totals that changed since the others were told, of workspaces that have
  /// used up much of their quota.
  std::vector<WorkspaceUsage> TakeLowQuotaUsage();

 private:
  struct Bucket {
    double level = 0;         ///< left of the workspace's quota
    double domain_level = 0;  ///< left of what the own domain may give out
    double admitted = 0;
    double told_near = 0;
    double told_far = 0;
    bool is_pressed = false;  ///< little was left at the last request
    Time updated;
  };
  struct PeerUse {
    std::optional<std::uint64_t> incarnation;  ///< none before the first word
    std::map<std::uint32_t, double> admitted;
    std::map<std::uint32_t, double> levels;  ///< as last told
    bool was_whole = false;  ///< told of all workspaces in this incarnation
    bool is_near = true;
  };

  static WorkspaceUsage UseOf(const std::string& name, const Bucket& bucket);
  int Unheard() const;
  int UnheardNear() const;
  bool HasFarPeers() const { return near_ < members_; }
  /// Part of the quota that falls to the own domain.
  double DomainPart() const;
  double Capacity(const ServingWorkspace& workspace) const;
  /// What near peers say is left; none if they haven't said.
  std::optional<double> ToldLevel(const std::string& workspace) const;
  Bucket& Refill(const ServingWorkspace& workspace, Time now);

  int members_ = 1;
  int near_ = 1;
  double slack_ = 0;
  std::optional<Time> start_;
  std::map<std::string, Bucket> buckets_;
  std::map<std::uint32_t, Bucket*> by_hash_;
  std::map<std::string, PeerUse> peers_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_QUOTA_LEDGER_H_
