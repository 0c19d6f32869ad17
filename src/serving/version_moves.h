#ifndef HORNBEAMCLEAT_SRC_SERVING_VERSION_MOVES_H_
#define HORNBEAMCLEAT_SRC_SERVING_VERSION_MOVES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/move/evidence_table.h"
#include "hornbeamcleat/serving/version_move.h"
#include "src/move/version_analyzer.h"
#include "src/serving/stream_pauses.h"
#include "src/serving/target_balancer.h"

namespace hornbeamcleat {

/// Moves traffic between software versions within seconds. Each VM evaluates
/// the answers observed by all VMs, so that a bad version loses its traffic
/// without further coordination. The outcome is agreed on through the store,
/// where the first final record wins.
///
/// Load pattern: a version that fails or is slow for some of its answers,
/// immediately, later, on one route, or only under load. Planned from the
/// deadline backwards, so that little has been given to the version at any
/// moment at which a fault may first show: full share for as long as the old
/// targets need to end their requests; before it a step that loads few targets
/// fully; before that a small share, in all not more than the exposure limit
/// leaves.
class VersionMoves {
 public:
  struct Options {
    /// Maximum fraction of a move's traffic that a bad version may get.
    double exposure_share = 0.1;
    /// Further requests that it may get.
    double exposure_slack = 50;
    /// Time after its 50th bad answer from which a bad version gets no
    /// requests.
    Duration rollback_limit = std::chrono::seconds(5);
  };

  /// Capacity and load of a service's targets on each side of a move.
  struct SideCapacity {
    int new_slots = 0;
    int old_slots = 0;
    int old_running = 0;
    int new_resting_slots = 0;  ///< part of `new_slots`
    int new_targets = 0;
  };

  struct Decisions {
    std::vector<MoveRecord> records;  ///< to write until they are read back
    std::map<std::string, VersionRule> rules;  ///< keyed by service
    std::vector<std::string> log_lines;        ///< changes to log
  };

  explicit VersionMoves(const Options& options);
  ~VersionMoves();

  /// Sets all orders and records from the store.
  void SetMoves(const std::vector<MoveOrder>& orders,
                const std::vector<MoveRecord>& records, Time now,
                WallTime wall_now);

  /// Whether the service has a move in progress.
  bool IsMoving(const std::string& service) const;
  bool IsAnyMoving() const;

  /// Returns all known orders, including finished ones.
  std::vector<MoveOrder> Orders() const;

  /// Records a request that is sent to a target with this version.
  void OnSent(const std::string& service, const std::string& route,
              const std::string& version);
  /// Records for how long a request occupied such a target.
  void OnHeld(const std::string& service, const std::string& route,
              const std::string& version, Duration time);
  /// Records a complete answer from a target with this version.
  /// @param slowness time to the first event relative to the typical time
  void OnAnswered(const std::string& service, const std::string& route,
                  const std::string& version, double slowness);
  /// Records the longest early pause of a stream.
  void OnPauses(const std::string& service, const std::string& route,
                const std::string& version, Duration longest);
  /// Returns the pause from which a stream counts as failed, by the pauses of
  /// the versions other than the new one; nullopt if it isn't known.
  std::optional<Duration> StallLimit(const std::string& service,
                                     const std::string& route) const;
  /// Records an answer that blames the request.
  /// @param share as of NewShare() when its target was picked
  void OnRejected(const std::string& service, const std::string& route,
                  const std::string& version, double share);
  /// Returns the probability with which a request goes to the new version of
  /// its service now.
  double NewShare(const std::string& service) const;
  /// Records an answer that failed, was truncated, stalled, or came much later
  /// than typical.
  void OnFailed(const std::string& service, const std::string& route,
                const std::string& version);

  /// Records an answer that was cut off when its target was lost. It counts as
  /// failed after a while, unless a request turns out to have crashed the
  /// target.
  void OnLost(const std::string& service, const std::string& route,
              const std::string& version, std::uint32_t target, Time now);
  /// Counts answers that were cut off a while ago.
  /// @param is_explained whether a request crashed the target
  void CountLost(const std::function<bool(std::uint32_t)>& is_explained,
                 Time now);

  /// Returns this VM's counts, to report to peers; empty without moves in
  /// progress.
  std::vector<VersionCounts> Counts() const;
  /// Sets a peer's counts since the start of its `incarnation`.
  void SetPeerCounts(const std::string& peer, std::uint64_t incarnation,
                     const std::vector<VersionCounts>& counts);

  /// Evaluates the evidence and determines the next steps.
  /// @param sides keyed by service
  /// @param is_leader whether this VM writes records that any VM could write
  Decisions Decide(const std::map<std::string, SideCapacity>& sides,
                   bool is_leader, Time now, WallTime wall_now);

 private:
  struct Move;
  /// Service, version of its move, route, and whether it counts the new
  /// version.
  using CountKey = std::tuple<std::string, std::string, std::string, bool>;

  struct LostAnswer {
    std::string service;
    std::string route;
    std::string version;
    std::uint32_t target = 0;
    Time lost_at;
  };

  VersionCounts* Counter(const std::string& service, const std::string& route,
                         const std::string& version);
  /// Requests of a move so far, of all VMs.
  struct Traffic {
    double given = 0;               ///< to the new version
    std::uint64_t bad_answers = 0;  ///< of the new version
    double total = 0;               ///< to all versions
    double new_answers = 0;         ///< without rejections
    double new_faults = 0;
    double old_answers = 0;  ///< of all other versions
    double old_faults = 0;
    bool has_ended = false;  ///< some requests to the other versions
    Duration longest{0};     ///< time of one of these

    /// Whether callers are better off with the new version at once.
    bool AreOldVersionsFailing() const;
    /// Requests of the whole move, at the mean rate so far.
    double Expected(double fraction) const;
  };
  /// Fractions of a move's duration at which its steps begin.
  struct Schedule {
    double load_step = 0;
    double full = 0;
    /// By which the full share may be late.
    double max_delay = 0;
  };

  Traffic TrafficOf(const MoveOrder& order) const;
  static Schedule ScheduleOf(const MoveOrder& order, const Traffic& traffic);
  void Judge(Move* move, std::uint64_t bad_answers, Time now,
             WallTime wall_now);
  /// Whether the version is more likely slow than not, or has been unclear for
  /// too long.
  bool IsDoubtful(double fraction, Time now, Move* move) const;
  void JudgeRejections(bool start_point, Move* move) const;
  int CanaryPermille(const MoveOrder& order, const Schedule& schedule,
                     const Traffic& traffic, double fraction) const;
  VersionShare NextShare(const Move& move, const SideCapacity& sides,
                         const Schedule& schedule, const Traffic& traffic,
                         double fraction) const;
  void Step(Move* move, const SideCapacity& sides, bool is_leader, Time now,
            WallTime wall_now, Decisions* out);

  const Options options_;
  std::map<std::string, std::unique_ptr<Move>> moves_;  ///< keyed by service
  std::map<CountKey, VersionCounts> counts_;
  /// Pauses of the versions other than the new one, keyed by service and route.
  std::map<std::pair<std::string, std::string>, StreamPauses> pauses_;
  std::deque<LostAnswer> lost_answers_;  ///< not counted yet
  std::unique_ptr<EvidenceTable> evidence_;
  /// Latest counts of each VM's incarnation, this one's included.
  std::map<std::string, std::vector<VersionCounts>> reported_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_VERSION_MOVES_H_
