#ifndef HORNBEAMCLEAT_SRC_SERVING_TARGET_BALANCER_H_
#define HORNBEAMCLEAT_SRC_SERVING_TARGET_BALANCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/move/version_share.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "hornbeamcleat/serving/target_statement.h"
#include "src/serving/cold_targets.h"
#include "src/serving/load_reports.h"
#include "src/serving/short_queue.h"
#include "src/serving/target_limits.h"
#include "src/serving/target_statements.h"

namespace hornbeamcleat {

/// Request attributes that placement depends on.
struct PlacementNeed {
  std::string service;
  std::uint32_t prompt_tokens = 0;
  Duration max_pause{0};           ///< maximum gap between events; 0: unlimited
  std::string failure_domain;      ///< failure domain of this VM
  std::vector<std::string> tried;  ///< targets that refused or failed it
  bool allows_long_pauses = false;  ///< ignores `max_pause`
  std::uint32_t seed = 0;           ///< selects the subset of candidates
  /// If set, targets are ranked by their rendezvous hash with this key instead
  /// of by cost, so that all VMs choose the same one for equal keys.
  std::optional<std::uint64_t> rendezvous_key;
  /// Considers cold targets only; else they are left out.
  bool is_for_cold = false;
  AllowedRegions allowed_regions;

  bool operator==(const PlacementNeed&) const = default;
};

/// Target selected for a request.
struct Placement {
  std::string target;
  Duration expected{0};  ///< time from dispatch to the first event or answer
  /// Reported work time at the target relative to its mean, which `expected`
  /// includes.
  double work_time = 1;

  /// Part of `expected` that the request waits at the target for a slot.
  Duration queue_wait{0};

  /// `expected` if the target worked as fast as on average.
  Duration ExpectedAtUsualSpeed() const;

  bool operator==(const Placement&) const = default;
};

/// Splits a service's requests between software versions.
struct VersionRule {
  VersionShare share;  ///< share of `to_version`; other versions get the rest
  /// Whether the split is final, so that the side without a share gets no
  /// requests.
  bool is_final = false;

  bool operator==(const VersionRule&) const = default;
};

/// What targets that rest or state limits leave of a service.
struct ServiceOpening {
  /// When this VM may send to the first target, as far as it knows; `now` if it
  /// may already, or if there are no targets; Time::max() if it holds no turn.
  Time at;
  /// Every target rests or states a limit, and not all of them rest.
  bool is_limited = false;
  int open_turns = 0;    ///< limited targets that this VM may send to now
  double own_rate = 0;   ///< requests per second at limited targets
  double mean_rate = 0;  ///< ... of one of all VMs on average
  /// There are targets, but all of them are in evacuated failure domains or
  /// outside of the allowed regions; `at` is Time::max().
  bool is_closed = false;

  bool operator==(const ServiceOpening&) const = default;
};

/// Latency result of one first event.
struct FirstEventStats {
  double slowness = 0;   ///< latency relative to the typical one; 0: unknown
  bool is_late = false;  ///< much later than most of this target's answers

  bool operator==(const FirstEventStats&) const = default;
};

/// Number of targets by what they report of their load.
struct LoadReportCounts {
  int reporting = 0;
  int slowed = 0;  ///< work takes much longer than on average

  bool operator==(const LoadReportCounts&) const = default;
};

/// How a request at a target ended.
enum class TargetOutcome {
  kAnswered,   ///< complete answer
  kRejected,   ///< the target returned a status that blames the request
  kFailed,     ///< the target returned a failure status
  kBroken,     ///< malformed or missing answer
  kLost,       ///< the connection ended before the answer did
  kNotRun,     ///< the target reported that it did not run the request
  kUnreached,  ///< the connection failed
  kAbandoned,  ///< ended by this VM; no evidence about the target
};

/// Load balancer: tracks the requests in flight at each target, from this VM
/// and its peers, together with the latency and failures of its answers, and
/// picks a target for each request.
///
/// Load pattern: engines of one service differ several times in speed, and many
/// VMs choose among them concurrently. Every VM counts requests as they are
/// sent, since load reports from engines lag by more than the duration of a
/// request.
class TargetBalancer {
 public:
  /// Replaces the list of targets. Targets in both lists keep their statistics.
  void SetTargets(const std::vector<ServingTarget>& targets, Time now);

  /// Sets a peer's load and the targets that it is backing off from.
  /// @param is_near whether the peer sends changes to its load immediately
  void SetPeerLoad(const std::string& peer,
                   const std::vector<TargetLoad>& loads, Time now,
                   bool is_near = true);
  /// Sets the statistics measured by a peer.
  void SetPeerStats(const std::string& peer,
                    const std::vector<TargetStats>& all_stats);
  void ForgetPeer(const std::string& peer);

  /// Sets the fraction of targets considered per request. Below 1, each request
  /// considers a different subset, so that VMs with outdated load information
  /// do not all pick the same target.
  void SetCandidateShare(double share) { candidate_share_ = share; }

  /// Sets the failure domains whose targets are sent nothing. Targets of
  /// domains that are no longer among them count as cold.
  void SetEvacuatedDomains(const std::set<std::string>& failure_domains,
                           Time now);
  /// Whether the target is listed in an evacuated failure domain.
  bool IsEvacuated(const std::string& target) const;
  /// Sets the regions of failure domains. Targets of other domains are used for
  /// unrestricted requests only.
  void SetRegions(std::map<std::string, std::string> regions);

  /// Sets for how long in all this VM was suspended. Rests of targets go on
  /// meanwhile, but not the clock of the other arguments.
  void SetSuspendedTime(Duration time) { suspended_time_ = time; }

  /// Sets the rules for services with a version move.
  void SetVersionRules(std::map<std::string, VersionRule> rules);

  /// Sets the added cost of a target in another failure domain, in
  /// milliseconds.
  void SetRemoteDomainCost(double ms) { remote_domain_cost_ms_ = ms; }

  /// Sets the plain services, whose targets may be given requests beyond their
  /// slots, with the objective of their requests.
  void SetPlainServices(std::map<std::string, Duration> objectives) {
    plain_objectives_ = std::move(objectives);
  }
  /// Sets the time until near peers hear of a slot's release, and whether there
  /// are VMs that hear of it only from reports of the target.
  void SetNewsDelay(Duration delay, bool has_remote_vms) {
    news_delay_ = delay;
    has_remote_vms_ = has_remote_vms;
  }

  /// What targets state of themselves in answers, to this VM and its peers.
  TargetStatements* Statements() { return &statements_; }
  /// Limits on requests that targets have stated.
  TargetLimits* Limits() { return &limits_; }
  /// Targets that have just started or come back.
  ColdTargets* Cold() { return &cold_; }

  /// Sets the services with cold targets, by name.
  void SetColdServices(const std::map<std::string, ServiceSpec>& services,
                       std::int64_t wall_ms, Time now);
  /// Applies what the listed records state about cold targets.
  /// @param wall_ms Unix time
  void UpdateColdRecords(std::int64_t wall_ms, Time now);
  /// The evacuation of a failure domain has ended, so that its targets are
  /// cold.
  void MarkDomainCold(const std::string& failure_domain, Time now);
  void OnColdNotice(const std::string& peer, const ColdNotice& notice,
                    Time now);
  /// Records bytes of an answer to a request that was sent at `sent`, on the
  /// suspension-aware clock.
  void OnAnswerBytes(const std::string& target, Time sent, Time now);
  /// Records a complete answer to it.
  void OnAnswerComplete(const std::string& target, Time sent, Time now);
  bool IsCold(const std::string& target, Time now) const;
  /// Last check of a cold target before a request is sent.
  /// @param is_counted whether it was cold when the request was placed
  bool ConfirmCold(const std::string& target, bool is_counted, Time now);
  /// Whether a cold target of the service should be tried, even if others have
  /// room.
  bool NeedsColdTrial(const std::string& service, Time now) const;
  /// Whether this VM may send a request to a cold target of the service.
  bool HasOpenColdTarget(const std::string& service, Time now) const;

  /// Returns the target with the lowest cost among those with a free slot, or
  /// nullopt. Has no side effects.
  std::optional<Placement> Pick(const PlacementNeed& need, Time now) const;

  /// Returns the mean expected time to the first event over the service's
  /// targets at their current load, or zero if there are none.
  Duration TypicalLatency(const PlacementNeed& need) const;

  /// Whether this instance of the target is still listed, and neither draining
  /// nor resting nor evacuated.
  bool AcceptsRequests(const std::string& target, Time now) const;

  /// Returns when the service's targets may be sent requests, as far as rests
  /// and limits decide.
  /// @param allowed_regions counts only targets that such requests may use
  ServiceOpening OpeningOf(
      const std::string& service, Time now,
      const AllowedRegions& allowed_regions = std::nullopt) const;

  /// Returns the requests per second that the service's targets take, if each
  /// occupies a slot for `hold_time` and limits are kept.
  double Throughput(const std::string& service, Duration hold_time, Time now,
                    const AllowedRegions& allowed_regions = std::nullopt) const;

  /// Whether the target states a limit.
  bool IsLimited(const std::string& target, Time now) const;
  /// Last check of a target's limit before a request is sent.
  /// @param is_counted whether the limit was known when it was placed
  bool ConfirmLimit(const std::string& target, bool is_counted, Time now);

  /// Returns the specification of a listed target, or nullptr.
  const ServingTarget* Find(const std::string& target) const;
  /// Returns the listed targets at an address; several while an entry is stale.
  std::vector<ServingTarget> FindAt(const std::string& address) const;
  /// Return the address, ID or failure domain of a listed target, or "".
  std::string AddressOf(const TargetInstance& target) const;
  std::string IdOf(const TargetInstance& target) const;
  std::string DomainOf(const TargetInstance& target) const;

  /// Records the load that a target states in a response to this VM. A report
  /// of another start of the target is ignored.
  void OnLoadReport(const ServingTarget& target, const TargetLoadReport& report,
                    Time now);
  LoadReportCounts CountLoadReports(Time now) const;

  void OnSent(const std::string& target, std::uint32_t prompt_tokens, Time now);
  /// Records that the first event or the answer's header arrived `after` the
  /// dispatch.
  FirstEventStats OnFirstEvent(const std::string& target,
                               std::uint32_t prompt_tokens, Duration after,
                               Duration expected, Time now);
  void OnEnded(const std::string& target, std::uint32_t prompt_tokens,
               bool had_first_event, TargetOutcome outcome, Time now);

  /// Returns the free slots at the service's available targets.
  int FreeSlots(const std::string& service, Time now,
                const AllowedRegions& allowed_regions = std::nullopt) const;
  /// Returns the requests in flight at the service's targets, from all VMs.
  int Running(const std::string& service) const;

  /// Slots and requests in flight of a service at targets of one version, or of
  /// all other versions if `is_version` is false.
  int SlotsOf(const std::string& service, const std::string& version,
              bool is_version) const;
  int RunningOf(const std::string& service, const std::string& version,
                bool is_version) const;
  /// Number of targets of one version.
  int TargetsOf(const std::string& service, const std::string& version) const;
  /// Slots at targets of one version that rest, state limits or are cold.
  int RestingSlotsOf(const std::string& service, const std::string& version,
                     Time now) const;

  /// Returns this VM's load, to report to peers.
  /// @param has_reports whether to include recent load reports of targets
  std::vector<TargetLoad> LocalLoad(Time now, bool has_reports = true) const;
  /// Returns the statistics measured by this VM, to report to peers.
  /// @param failure_domain restricts them to targets of one domain; empty: all
  std::vector<TargetStats> LocalStats(const std::string& failure_domain,
                                      Time now) const;
  /// Number of changes to this VM's load so far.
  std::uint64_t Changes() const { return changes_; }

 private:
  struct Target {
    ServingTarget spec;
    TargetInstance instance;
    std::uint32_t hash = 0;
    bool is_evacuated = false;  ///< by its failure domain
    std::string region;         ///< empty: unknown
    int running = 0;
    std::uint32_t pending_tokens = 0;
    int unanswered = 0;
    Time unanswered_since;
    double slowness = 1;
    double slowness_samples = 0;
    double lower_quartile_slowness = 0;  ///< of `slowness`; 0: no samples yet
    double failures = 0;
    double answers = 0;
    Time decayed_at;
    int consecutive_failures = 0;
    int consecutive_connect_failures = 0;
    Time ejected_until;
    Time connect_backoff_until;  ///< reported to peers
    Time last_answer_at;         ///< last first event received by this VM
    /// Ejections reported by peers. A single peer may itself be partitioned, so
    /// a target is ejected only if two peers report it.
    std::string first_ejecting_peer;
    Time first_peer_ejection_until;
    Time peer_ejected_until;
    int peer_running = 0;
    int remote_running = 0;  ///< part of it, from peers that are not near
    std::int64_t peer_pending_tokens = 0;
    double peer_slowness = 0;  ///< sum weighted by sample count
    double peer_samples = 0;
    double peer_failures = 0;
    double peer_answers = 0;
    LoadReports reports;
  };

  const Target* FindInstance(const TargetInstance& target) const;
  static double Slowness(const Target& target);
  static Duration ExpectedLatency(const Target& target,
                                  std::uint32_t prompt_tokens);
  /// Reported work time at the target relative to its mean.
  double WorkTime(const Target& target, Time now) const {
    return target.reports.WorkTime(now + suspended_time_);
  }
  /// Identifies the start of the target in forwarded reports.
  static std::uint16_t StartOf(const Target& target);
  void RecordForwardedReport(const std::string& peer,
                             const ForwardedLoadReport& report, Time now,
                             Target* target) const;
  /// Restricts the targets considered for one request.
  struct CandidateFilter {
    double share = 1;               ///< fraction of targets
    bool is_new = false;            ///< side of a version move
    bool includes_avoided = false;  ///< includes those that peers avoid
  };
  std::optional<Placement> PickCandidate(const PlacementNeed& need,
                                         const CandidateFilter& filter,
                                         Time now) const;
  std::optional<Placement> PickSide(const PlacementNeed& need, bool prefers_new,
                                    Time now) const;
  bool IsAllowed(const Target& target, const PlacementNeed& need,
                 bool prefers_new) const;
  std::set<std::string> FirstTargets(const std::string& service,
                                     const VersionShare& share) const;
  bool HasTrafficShare(const Target& target) const;
  bool IsEjected(const Target& target, Time now) const;
  /// Whether peers eject the target, or were asked by it for rest.
  bool IsAvoided(const Target& target, Time now) const;
  TargetAccess AccessTo(const Target& target, Time now) const {
    return statements_.Access(target.instance, now + suspended_time_);
  }
  bool IsLimited(const Target& target, Time now) const {
    return limits_.Find(target.instance, now + suspended_time_).has_value();
  }
  bool IsCold(const Target& target, Time now) const {
    return cold_.IsCold(target.instance, now + suspended_time_);
  }
  /// When this VM may send to the target, as far as its rest and its limit
  /// decide, on the suspension-aware clock.
  Time OpensAt(const Target& target, Time now) const;
  /// Whether the target neither drains nor has said that it leaves, and is not
  /// evacuated.
  bool IsStaying(const Target& target) const {
    return !target.spec.is_draining && !target.is_evacuated &&
           !statements_.IsLeaving(target.instance);
  }
  void SetDomainState(Target* target) const;
  static bool IsInRegions(const Target& target,
                          const AllowedRegions& allowed_regions);
  static void RecordPeerEjection(const std::string& peer,
                                 const TargetLoad& load, Time now,
                                 Target* target);
  double FailureShare(const Target& target, Time now) const;
  int FreeSlotsOf(const Target& target, Time now) const;
  static bool MeetsPauseLimit(const Target& target, const PlacementNeed& need);
  static void RecordFailure(Target* target, Time now);
  static void BackOff(Target* target, Time now);
  static void Decay(Target* target, Time now);
  void RebuildPeerTotals();
  /// Load that a peer has reported.
  struct PeerLoad {
    bool is_near = true;
    std::vector<TargetLoad> loads;
  };
  void AddPeerLoad(const TargetLoad& load, bool is_near, int sign);
  /// Requests in flight at the target, from all VMs. What remote VMs reported
  /// up to a second ago is replaced by what the target has reported since.
  int LoadOf(const Target& target, Time now) const;
  /// Requests that the target may be given beyond its slots; of length zero if
  /// it is an engine or has not reported its load.
  ShortQueue ShortQueueOf(const Target& target, Time now) const;
  /// Expected wait for a slot at the target.
  Duration QueueWait(const Target& target, Time now) const;
  void AddPeerStats(const TargetStats& stats, float sign);

  std::map<std::string, Target> targets_;  ///< keyed by ID
  std::unordered_map<std::uint32_t, Target*> by_hash_;
  std::unordered_map<std::uint64_t, const Target*> by_id_;  ///< by instance
  std::map<std::string, PeerLoad> peer_loads_;
  std::map<std::string, std::vector<TargetStats>> peer_stats_;
  std::map<std::string, VersionRule> version_rules_;  ///< keyed by service
  /// Targets of new versions whose rule allows some only, keyed by service.
  std::map<std::string, std::set<std::string>> first_targets_;
  std::set<std::string> evacuated_domains_;
  std::map<std::string, std::string> regions_;  ///< keyed by failure domain
  std::uint64_t changes_ = 0;
  double candidate_share_ = 1;
  double remote_domain_cost_ms_ = 0;
  std::map<std::string, Duration> plain_objectives_;  ///< by plain service
  Duration news_delay_{0};
  bool has_remote_vms_ = false;
  TargetStatements statements_;
  TargetLimits limits_;
  ColdTargets cold_;
  Duration suspended_time_{0};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_TARGET_BALANCER_H_
