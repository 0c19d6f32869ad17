#ifndef HORNBEAMCLEAT_SRC_SERVING_QUOTA_LIMITER_H_
#define HORNBEAMCLEAT_SRC_SERVING_QUOTA_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {

/// Result of checking one request against its workspace's quota.
struct QuotaDecision {
  bool is_admitted = true;
  Duration retry_after{0};    ///< time until the quota covers the request
  double level = 0;           ///< remaining quota after the decision
  int unreachable_peers = 0;  ///< peers whose share of the quota is reserved

  bool operator==(const QuotaDecision&) const = default;
};

/// Enforces workspace quotas across all VMs without a coordinator. Each VM
/// keeps a token bucket for the whole quota and deducts what its peers report
/// as admitted.
///
/// Load pattern: one workspace sends many times its normal traffic through all
/// VMs at once, possibly during a network partition. The share of an
/// unreachable VM is reserved, so that the total over all VMs stays within the
/// quota. Reports from other failure domains arrive with a delay, so each
/// domain is also limited by a bucket of its own. That bucket is larger than
/// the domain's share, since traffic is uneven, and small enough to bound what
/// all domains can admit before they receive each other's reports.
class QuotaLimiter {
 public:
  /// Fraction of the burst available at process start if no peer reports the
  /// remaining quota. Earlier admissions are unknown then, and all VMs may
  /// restart at once.
  static constexpr double kStartShare = 0.25;

  /// Sets the start time of this process. A workspace without requests since
  /// then has accumulated burst from that time on.
  void SetStart(Time start) { start_ = start; }

  /// Sets the amount that may be admitted beyond the burst. The limit on a
  /// workspace has a tolerance, part of which covers large requests of small
  /// workspaces.
  void SetSlack(double slack) { slack_ = slack; }

  /// Sets the number of VMs that admit requests, and how many of them are in
  /// the local failure domain and receive each admission immediately. Both
  /// include this VM.
  void SetMembers(int members, int local_members) {
    members_ = members;
    local_members_ = local_members;
  }

  /// Properties of a peer's message that affect accounting.
  struct PeerMessage {
    std::uint64_t incarnation = 0;
    /// Whether the message lists all workspaces, not only changed ones.
    bool is_full = false;
    /// Whether the peer is in this VM's failure domain and reports each
    /// admission immediately.
    bool is_local_domain = false;
  };

  /// Applies a peer's totals. Until the first full message of an incarnation,
  /// or after the peer was unreachable, the first total of a workspace is only
  /// a baseline and nothing is deducted.
  void SetPeerUsage(const std::string& peer, const PeerMessage& message,
                    const std::vector<WorkspaceUsage>& usages, Time now);

  /// Drops an unreachable peer; its share of the quota becomes reserved.
  void ForgetPeer(const std::string& peer);

  /// Admits or refuses a request. `cost` is in the quota's unit.
  QuotaDecision Admit(const ServingWorkspace& workspace, double cost, Time now);

  /// Refunds the charge of a request that never reached a target.
  void Refund(const std::string& workspace, double cost);

  /// Returns all totals of this VM and marks them as reported.
  /// @param to_remote_domains whether they are sent to other domains or to the
  ///   local one
  std::vector<WorkspaceUsage> TakeAllUsage(bool to_remote_domains, Time now);
  /// Returns totals that changed since the last report to other domains.
  std::vector<WorkspaceUsage> TakeRemoteDomainUsage(Time now);
  /// Returns totals that changed since the last report to the local domain.
  std::vector<WorkspaceUsage> TakeLocalDomainUsage(Time now);
  /// Returns totals of workspaces with little quota left that changed since the
  /// last report to other domains.
  std::vector<WorkspaceUsage> TakeLowQuotaUsage(Time now);

 private:
  struct Bucket {
    double level = 0;         ///< remaining quota of the workspace
    double domain_level = 0;  ///< remaining allowance of the local domain
    double admitted = 0;
    double reported_local = 0;
    double reported_remote = 0;
    bool is_low = false;  ///< little quota was left at the last refill
    /// Of the workspace, as of its last request here.
    double rate_per_second = 0;
    double capacity = 0;
    Time updated;
  };
  struct PeerUsage {
    std::optional<std::uint64_t> incarnation;  ///< unset at first
    std::map<std::uint32_t, double> admitted;
    std::map<std::uint32_t, double> levels;  ///< as last reported
    bool has_full_report = false;  ///< a message listed all workspaces
    bool is_local_domain = true;
  };

  WorkspaceUsage MakeUsage(const std::string& name, Time now, Bucket* bucket);
  int UnreachablePeers() const;
  int UnreachableLocalPeers() const;
  bool HasRemotePeers() const { return local_members_ < members_; }
  /// Fraction of the quota that belongs to the local domain.
  double LocalDomainShare() const;
  double Capacity(const ServingWorkspace& workspace) const;
  /// Lowest remaining quota reported by peers of the local domain, or nullopt
  /// if none has reported it.
  std::optional<double> ReportedLevel(const std::string& workspace) const;
  /// Finds or creates the bucket of a workspace and refills it.
  Bucket& FindBucket(const ServingWorkspace& workspace, Time now);
  void Refill(Time now, Bucket* bucket) const;

  int members_ = 1;
  int local_members_ = 1;
  double slack_ = 0;
  std::optional<Time> start_;
  std::map<std::string, Bucket> buckets_;
  std::map<std::uint32_t, Bucket*> by_hash_;
  std::map<std::string, PeerUsage> peers_;
  int local_peers_ = 0;  ///< of `peers_`, in the local domain
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_QUOTA_LIMITER_H_
