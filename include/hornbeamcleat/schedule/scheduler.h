#ifndef HORNBEAMCLEAT_SCHEDULE_SCHEDULER_H_
#define HORNBEAMCLEAT_SCHEDULE_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/action.h"
#include "hornbeamcleat/schedule/cluster_view.h"
#include "hornbeamcleat/schedule/event.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Target selection and queueing policy. All but kFull are baselines for
/// benchmarks; the rules for dispatch, retry and outcome are the same under
/// each.
enum class SchedulePolicy {
  kFull,               ///< tiers, limits, prediction and prefix caches
  kRandom,             ///< a random target, without queueing
  kLeastReportedLoad,  ///< the least reported load, without queueing
  kSingleQueue,        ///< one queue without tiers; the least loaded target
};

/// Parameters of a scheduler.
struct SchedulerOptions {
  SchedulePolicy policy = SchedulePolicy::kFull;
  std::uint64_t seed = 1;  ///< for retry delays and tie breaking
  int max_queued = 10'000;
  int max_attempts = 4;  ///< dispatches that ended in "not run"
  /// Lost targets from which a content or part of prompts is refused.
  int poison_limit = 2;
  Duration poison_expiry = std::chrono::minutes(10);
  Duration stall_time = std::chrono::seconds(2);  ///< without progress
  /// Upper bound on the time that a closed rank takes to reach all connected
  /// entries.
  Duration floor_settle = std::chrono::seconds(1);
  /// Time for which a rank stays closed after the last shortage of a higher
  /// tier.
  Duration floor_hold = std::chrono::seconds(5);
  /// Latency targets that a target's concurrency limit is adjusted to.
  Duration first_part_target = std::chrono::milliseconds(740);
  Duration part_gap_target = std::chrono::milliseconds(73);

  bool operator==(const SchedulerOptions&) const = default;
};

/// State that this entry shares with its peers through gossip.
struct SchedulerFacts {
  /// Lowest rank closed by this entry, by model; missing means none.
  std::map<std::string, int> closed_rank;
  /// Recent average of the work offered to this entry, in target-seconds per
  /// second, by model.
  std::map<std::string, double> demand;
  SequencedLosses losses;
  int queued = 0;
  int in_flight = 0;

  bool operator==(const SchedulerFacts&) const = default;
};

/// Load levels of VersionEvidence, by the part of its concurrency limit that
/// the target had in use when the request was dispatched.
inline constexpr int kLowLoad = 0;   ///< below half
inline constexpr int kHighLoad = 1;  ///< half or more

/// Statistics of one version on one route, tier, length class and load level.
/// Sums only grow while the entry runs. The scheduler decides which failures
/// are attributed to the version; the others are counted in `excluded`.
struct VersionEvidence {
  std::string model;
  std::string version;
  std::string workspace;
  std::string application;
  int tier_rank = 0;
  /// Class of the expected answer length, from any bounded set of numbers.
  int length_class = 0;
  int load_level = kLowLoad;
  std::uint64_t done = 0;     ///< answered completely
  std::uint64_t faults = 0;   ///< failed, truncated, too late or crashed
  std::uint64_t crashes = 0;  ///< faults in which the target was lost
  /// Failed for a cause other than the version: requests like this one crash
  /// targets. Counted in neither `done` nor `faults`.
  std::uint64_t excluded = 0;
  /// Sums of first-part times in seconds and of their squares, over `done`.
  double first_part_sum = 0;
  double first_part_square_sum = 0;
  /// The same sums over the natural logarithm of the time in seconds.
  double first_part_log_sum = 0;
  double first_part_log_square_sum = 0;
  /// Number of `done` answers with two parts or more, and sums over the natural
  /// logarithm of each answer's mean gap between parts in seconds.
  std::uint64_t gaps = 0;
  double gap_log_sum = 0;
  double gap_log_square_sum = 0;

  bool operator==(const VersionEvidence&) const = default;
};

/// Scheduling decisions of one entry: admission, order, target, retry and
/// refusal. Performs no I/O: it takes events and times and returns actions. Not
/// thread-safe; owned by the control thread. Every submitted request ends
/// exactly once: with an AnswerDone that the caller of this class reports, or
/// with one RefuseAction.
class Scheduler {
 public:
  static std::unique_ptr<Scheduler> Make(const SchedulerOptions& options);

  virtual ~Scheduler() = default;

  /// Replaces the cluster view and re-evaluates queued requests.
  virtual Actions SetView(std::shared_ptr<const ClusterView> view,
                          Time now) = 0;

  /// Submits a request, which is refused, queued or dispatched.
  virtual Actions Submit(const RequestSpec& request, Time now) = 0;

  /// Reports an event of a request; unknown ids are ignored.
  virtual Actions OnEvent(const RequestEvent& event, Time now) = 0;

  /// Reports a target's load. Reports are stale and serve only as hints.
  virtual void OnLoadReport(const LoadReport& report, Time now) = 0;

  /// Reports prefix cache events of a target, in order of arrival.
  virtual void OnCacheEvents(const TargetName& target,
                             const std::vector<CacheEvent>& events,
                             Time now) = 0;

  /// Handles deadlines, stalls and expiry. Must be called at least every 100
  /// ms.
  virtual Actions Tick(Time now) = 0;

  /// Refuses all new requests from now on. Queued and in-flight requests
  /// continue.
  virtual void Drain() = 0;

  /// Number of requests queued or in flight.
  virtual int Open() const = 0;

  virtual SchedulerFacts Facts(Time now) const = 0;
  virtual std::vector<VersionEvidence> Evidence() const = 0;

  /// Explains in English why a request was routed, queued or refused; empty if
  /// it is no longer known. A bounded number of past requests is kept.
  virtual std::string Explain(const RequestId& id) const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_SCHEDULER_H_
