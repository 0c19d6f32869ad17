#ifndef HORNBEAMCLEAT_SRC_SERVING_COLD_TARGETS_H_
#define HORNBEAMCLEAT_SRC_SERVING_COLD_TARGETS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "hornbeamcleat/serving/target_statement.h"
#include "src/serving/shared_rate.h"

namespace hornbeamcleat {

/// Why a target counts as cold.
enum class ColdCause { kRecord, kStart, kLost, kEvacuation };
const char* ColdCauseName(ColdCause cause);

/// Bound on the requests that a cold target may be sent in one second:
/// `cold_per_second` x overage + slack.
struct ColdBounds {
  double overage = 1;
  double slack = 0;

  bool operator==(const ColdBounds&) const = default;
};

/// How VMs divide the requests to one cold target among them.
struct ColdTurns {
  int holders = 1;         ///< VMs that hold a turn
  bool has_spare = false;  ///< the next VM may stand in for one of them
  int per_vm = 1;          ///< requests of one holder in any second
  double per_second = 0;   ///< requests of all holders

  bool operator==(const ColdTurns&) const = default;
};

/// Chooses the number of holders with the highest rate for which one holder
/// too many still keeps the bound.
ColdTurns PlanColdTurns(double per_second, const ColdBounds& bounds, int vms);

/// Position of a VM in the rendezvous order of all registered VMs.
struct VmOrder {
  bool takes_part = false;  ///< may hold turns
  int position = 0;
  int vms = 1;
  bool has_silent_before = false;  ///< a VM before it is not heard or not ready

  bool operator==(const VmOrder&) const = default;
};

/// Targets that have just started or come back, and when this VM may send each
/// of them a request.
///
/// Load pattern: tens of VMs send to a target at full rate; it crashes and
/// returns two seconds later under the same ID, while its old record is still
/// valid everywhere. For some seconds it takes only a few requests per second
/// from all VMs together, and more of them crash it again.
///
/// Turns go to the first VMs in the rendezvous order of all registered VMs,
/// whether these are heard or not, so that VMs that don't hear each other
/// agree. Each holder spaces its requests evenly and never exceeds its part of
/// the bound in any second. The next VM in the order stands in for a silent
/// holder; the bound covers it.
///
/// A lost connection is told to all VMs at once. It counts as a restart unless
/// a request that was sent before it goes on being answered. Times are on the
/// suspension-aware clock.
class ColdTargets {
 public:
  struct Event {
    std::string target;
    bool is_cold = false;
    Duration left{0};
    ColdCause cause = ColdCause::kRecord;
    double own_rate = 0;

    bool operator==(const Event&) const = default;
  };

  /// Sets the services with cold targets, by name.
  void SetServices(const std::map<std::string, ServiceSpec>& services);
  void SetBounds(const ColdBounds& bounds) { bounds_ = bounds; }
  void SetOrderSource(std::function<VmOrder(const TargetInstance&)> order) {
    order_ = std::move(order);
  }
  /// Whether any service has cold targets.
  bool IsEnabled() const { return !services_.empty(); }
  bool HasService(const std::string& service) const {
    return services_.contains(service);
  }

  /// Applies the listed records.
  /// @param wall_ms Unix time, for targets whose first list this is
  void SetRecords(const std::vector<ServingTarget>& targets,
                  std::int64_t wall_ms, Time now);

  /// Records a connection that failed, or ended before its answer.
  /// @param has_others other requests are known to run there
  void OnLost(const ServingTarget& target, bool has_others, Time now);
  /// Records bytes of an answer to a request that was sent at `sent`.
  void OnHeard(const ServingTarget& target, Time sent, Time now);
  /// Records a complete answer.
  void OnAnswered(const ServingTarget& target, Time sent, Time now);
  /// Records the remaining time that a health response states.
  void OnHealth(const ServingTarget& target, Duration left, Time sent,
                Time now);
  /// The failure domain of the target is no longer evacuated.
  void OnEvacuationEnded(const ServingTarget& target, Time now);
  /// Records what a peer knows.
  /// @param reporter tells peers apart; not 0
  /// @param has_others other requests are known to run there
  void OnNotice(std::uint64_t reporter, const ColdNotice& notice,
                bool has_others, Time now);

  /// Called often. A gap shows that this VM was paused, so that it may have
  /// missed notices: it sends nothing to targets that may be cold until these
  /// are read.
  void OnTick(Time now);
  /// Holds back requests to targets that may be cold, for example until peers
  /// have told a VM that starts what they know.
  void HoldUntil(Time time) { held_until_ = std::max(held_until_, time); }

  /// Asks for the order of VMs again for all cold targets, and ends those waits
  /// for proof that are over.
  void Update(Time now);

  bool IsCold(const TargetInstance& target, Time now) const;
  /// When this VM may send the target its next request; not after `now` if it
  /// may already.
  Time OpensAt(const TargetInstance& target, Time now) const;
  /// Returns how many of the target's free slots may be used now: one while it
  /// is cold and this VM has a turn, and only a part shortly afterwards.
  int FreeSlots(const TargetInstance& target, int slots, int free,
                Time now) const;
  /// Requests per second of all VMs, or nullopt if it isn't cold.
  std::optional<double> RateOf(const TargetInstance& target, Time now) const;
  /// Whether a target that was lost should be sent a request, even if others
  /// have room, so that its cold time begins to end.
  bool NeedsTrial(const TargetInstance& target, Time now) const;
  /// Requests per second of this VM; 0 without a turn.
  double OwnRate(const TargetInstance& target) const;
  /// Part of the rate that one of all VMs has on average.
  double MeanRate(const TargetInstance& target) const;

  /// A request was placed at the target.
  void OnPlaced(const TargetInstance& target, Time now);
  /// Last check before a request is sent.
  /// @param is_counted whether the target was cold when it was placed
  bool ConfirmSend(const TargetInstance& target, bool is_counted, Time now);

  /// Whether there is something to tell peers; ends with the call.
  bool TakeNews() { return std::exchange(has_news_, false); }
  /// Whether a target may have become cold or warm; ends with the call.
  bool TakeChanged() { return std::exchange(has_changed_, false); }
  std::vector<ColdNotice> NoticesSince(Time since, Time now) const;
  std::vector<ColdNotice> AllNotices(Time now) const;

  /// Targets that became cold or warm since the last call.
  std::vector<Event> TakeEvents(Time now);
  int ColdCount(Time now) const;
  std::size_t Size() const { return states_.size(); }

 private:
  struct State {
    std::string id;       ///< empty until its record is read
    std::string service;  ///< likewise
    std::int64_t start_time_ms = 0;
    Time record_read_at;
    Time cold_until;  ///< by records, starts and the end of an evacuation
    ColdCause cause = ColdCause::kRecord;
    bool is_lost = false;
    Time lost_at;
    Time answered_at;  ///< first complete answer after the loss
    Time evacuation_ended_at;
    Time loss_ended_at;  ///< when the latest loss stopped to count
    /// A loss that others may disprove.
    bool is_suspected = false;
    Time suspected_at;
    Time proof_due;
    std::uint64_t suspected_by = 0;  ///< reporter; 0: this VM
    /// The process was alive all this time.
    Time alive_from;
    Time alive_to;
    /// Bytes that prove this, unless this VM's connection ends right after
    /// them.
    Time heard_at;
    Time heard_sent;  ///< when their request was sent
    Time tried_at;    ///< latest request placed while it was lost
    Time news_at;
    Time known_at;
    bool is_listed = false;
    bool was_cold = false;  ///< at the last TakeEvents()
    VmOrder order;
    ColdTurns turns;
    SharedRate rate;
    std::deque<Time> sends;  ///< of the last second
  };

  const State* Find(const TargetInstance& target) const;
  State* Find(const TargetInstance& target) {
    return const_cast<State*>(std::as_const(*this).Find(target));
  }
  State* FindOrAdd(std::uint64_t id, Time now);
  State* FindListed(const ServingTarget& target, Time now);
  void ApplyRecord(const ServingTarget& target, bool is_first_list,
                   std::int64_t wall_ms, Time now);
  static void OnNewStart(std::int64_t start_time_ms, State* state);
  Duration ColdTime(const State& state) const;
  double PerSecond(const State& state) const;
  Time ColdEnd(const State& state, Time now) const;
  bool IsCold(const State& state, Time now) const;
  void AddLoss(std::uint64_t reporter, Time at, bool is_certain, Time now,
               State* state);
  static void Confirm(Time at, State* state);
  void AddProof(Time from, Time to, State* state);
  void ApplyHeard(Time now, State* state);
  /// Whether the record may have been written before a loss or the end of an
  /// evacuation.
  static bool MayBeOutdated(const ServingTarget& target, bool is_new_start,
                            const State& state);
  void UpdateTurn(Time now, State* state);
  void Tell(Time now, State* state);
  static ColdNotice NoticeOf(std::uint64_t id, const State& state, Time now);
  Time OpensAt(const State& state, Time now) const;
  Time RampStart(const State& state, Time now) const;
  void EvictOldest();

  std::map<std::string, ServiceSpec> services_;
  ColdBounds bounds_;
  std::function<VmOrder(const TargetInstance&)> order_;
  std::unordered_map<std::uint64_t, State> states_;  ///< by hash of the ID
  /// Services whose targets were listed before.
  std::set<std::string> listed_services_;
  bool has_news_ = false;
  bool has_changed_ = false;
  Time ticked_at_;
  Time held_until_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_COLD_TARGETS_H_
