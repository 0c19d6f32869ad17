#ifndef HORNBEAMCLEAT_SRC_SERVING_TARGET_BALANCER_H_
#define HORNBEAMCLEAT_SRC_SERVING_TARGET_BALANCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/move/version_share.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {

/// What placement needs to know of a request.
struct PlacementNeed {
  std::string service;
  std::uint32_t prompt_tokens = 0;
  Duration max_pause{0};           ///< between events, of the route; 0: none
  std::string failure_domain;      ///< of this VM
  std::vector<std::string> tried;  ///< targets that refused or failed it
  bool accepts_pauses = false;     ///< late events are better than no answer
  std::uint32_t seed = 0;          ///< picks the candidates, if not all are

  bool operator==(const PlacementNeed&) const = default;
};

/// Target picked for a request.
struct Placement {
  std::string target;
  Duration expected{0};  ///< from dispatch to the first event or the answer

  bool operator==(const Placement&) const = default;
};

/// Which software version of a service gets its requests.
struct VersionRule {
  VersionShare share;  ///< of `to_version`; the rest goes to other versions
  /// Whether the side without a share is over, so that nothing may go there.
  bool is_final = false;

  bool operator==(const VersionRule&) const = default;
};

/// What the first event of an answer shows of its target.
struct FirstEventStats {
  double slowness = 0;   ///< time as a multiple of the usual; 0: not known
  bool is_late = false;  ///< far later than most answers of this target

  bool operator==(const FirstEventStats&) const = default;
};

/// How a request left its target.
enum class TargetOutcome {
  kAnswered,   ///< whole answer
  kFailed,     ///< failure status of the target's own
  kBroken,     ///< broken, malformed or missing answer
  kNotRun,     ///< the target said that it did not run the request
  kUnreached,  ///< no connection
  kAbandoned,  ///< ended by this side; says nothing of the target
};

/// All targets with their work in flight, from this VM and from its peers, and
/// what their answers show of their speed and health. Picks a target for a
/// request.
///
/// Load pattern: engines of one service differ several times in speed and many
/// VMs choose among them at the same moment. Work is counted as it is sent, by
/// every VM, since reports of engines lag by more than a request lasts.
class TargetBalancer {
 public:
  /// Replaces the list of targets. Statistics of those that stay are kept.
  void SetTargets(const std::vector<ServingTarget>& targets, Time now);

  /// Takes the work that a peer has in flight, and which targets it rests.
  void SetPeerLoad(const std::string& peer, const std::vector<TargetLoad>& uses,
                   Time now);
  /// Takes what a peer has learned.
  void SetPeerStats(const std::string& peer,
                    const std::vector<TargetStats>& findings);
  void ForgetPeer(const std::string& peer);

  /// Sets the part of the targets that are candidates for one request. Below 1
  /// each request sees other ones, so that VMs which hear of each other late
  /// don't all rush to the same target.
  void SetCandidateShare(double share) { candidate_share_ = share; }

  /// Sets the rules of services whose traffic moves between versions.
  void SetVersionRules(std::map<std::string, VersionRule> rules) {
    version_rules_ = std::move(rules);
  }

  /// Sets the cost of a target in another failure domain, in milliseconds.
  void SetRemoteDomainCost(double ms) { other_domain_ms_ = ms; }

  /// Target with the least expected time among those with a free place, or
  /// nullopt. Pure.
  std::optional<Placement> Pick(const PlacementNeed& need, Time now) const;

  /// Usual time to the first event at the targets of the service as they are
  /// loaded now; zero if there are none.
  Duration TypicalExpected(const PlacementNeed& need) const;

  /// Whether the target is there, in the same incarnation, and not leaving.
  bool AcceptsRequests(const std::string& target) const;

  /// Specification of a target that is listed, or nullptr.
  const ServingTarget* Find(const std::string& target) const;

  void OnSent(const std::string& target, std::uint32_t prompt_tokens, Time now);
  /// The first event or the answer's head came `after` the dispatch.
  FirstEventStats OnFirstEvent(const std::string& target,
                               std::uint32_t prompt_tokens, Duration after,
                               Duration expected, Time now);
  void OnEnded(const std::string& target, std::uint32_t prompt_tokens,
               bool had_first_event, TargetOutcome outcome, Time now);

  /// Free places at targets of the service that take work now.
  int FreePlaces(const std::string& service, Time now) const;
  /// All places at targets of the service that are not leaving.
  int AllPlaces(const std::string& service) const;
  /// Requests at targets of the service, from all VMs.
  int Running(const std::string& service) const;

  /// Places and running requests of a service at targets of one version, or at
  /// those of all others.
  int SlotsOf(const std::string& service, const std::string& version,
              bool is_version) const;
  int RunningOf(const std::string& service, const std::string& version,
                bool is_version) const;

  /// This VM's work, for its peers.
  std::vector<TargetLoad> LocalLoad(Time now) const;
  /// What this VM has learned, for its peers.
  std::vector<TargetStats> LocalStats(Time now) const;
  /// Changes so far to this VM's work.
  std::uint64_t Changes() const { return changes_; }

 private:
  struct Target {
    ServingTarget spec;
    std::uint32_t hash = 0;
    int running = 0;
    std::uint32_t pending_tokens = 0;
    int unanswered = 0;
    Time unanswered_since;
    double slowness = 1;
    double slowness_samples = 0;
    double quick_slowness = 0;  ///< lower quartile of `slowness`; 0: none yet
    double failures = 0;
    double answers = 0;
    Time decayed_at;
    int failures_in_row = 0;
    int unreached_in_row = 0;
    Time shunned_until;
    Time unreached_until;  ///< part of that rest which peers are told of
    Time answered_at;      ///< last sign of life to this VM
    /// When peers last said that they rest it, and until when. One of them may
    /// be cut off itself, so two must say so.
    std::string first_rester;
    Time first_rest_until;
    Time peers_rest_until;
    int peer_running = 0;
    std::int64_t peer_unread_tokens = 0;
    double peer_slowness = 0;  ///< sum, weighted by samples
    double peer_samples = 0;
    double peer_failures = 0;
    double peer_answers = 0;
  };

  static double Slowness(const Target& target);
  static Duration Expected(const Target& target, std::uint32_t prompt_tokens);
  /// Which targets a look takes into account.
  struct Look {
    double share = 1;           ///< part of the targets
    bool is_new = false;        ///< side of a move between versions
    bool takes_rested = false;  ///< also those that peers rest
  };
  std::optional<Placement> PickAmong(const PlacementNeed& need,
                                     const Look& look, Time now) const;
  std::optional<Placement> PickSide(const PlacementNeed& need, bool prefers_new,
                                    Time now) const;
  bool IsAllowed(const Target& target, const PlacementNeed& need,
                 bool prefers_new) const;
  bool HasShare(const Target& target) const;
  bool IsShunned(const Target& target, Time now) const;
  static bool IsRestedByPeers(const Target& target, Time now);
  static void TakePeerRest(const std::string& peer, const TargetLoad& use,
                           Time now, Target* target);
  double FailureShare(const Target& target, Time now) const;
  static int FreePlacesOf(const Target& target);
  static bool KeepsPauses(const Target& target, const PlacementNeed& need);
  static void Shun(Target* target, Time now);
  static void RestUnreached(Target* target, Time now);
  static void Decay(Target* target, Time now);
  void SumPeers();
  void AddPeerUse(const TargetLoad& use, int sign);
  void AddPeerFinding(const TargetStats& finding, float sign);

  std::map<std::string, Target> targets_;  ///< by id
  std::unordered_map<std::uint32_t, Target*> by_hash_;
  std::map<std::string, std::vector<TargetLoad>> peer_uses_;
  std::map<std::string, std::vector<TargetStats>> peer_findings_;
  std::map<std::string, VersionRule> version_rules_;  ///< by service
  std::uint64_t changes_ = 0;
  double candidate_share_ = 1;
  double other_domain_ms_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_TARGET_BALANCER_H_
