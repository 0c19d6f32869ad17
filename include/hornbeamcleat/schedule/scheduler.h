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

/// How targets are chosen and work is ordered. All but kFull are baselines for
/// measurement; the rules on dispatch, retry and outcome hold under each.
enum class SchedulePolicy {
  kFull,           ///< tiers, limits, prediction and prefix caches
  kRandom,         ///< any target at once, without a queue
  kLeastReported,  ///< the target with the least reported load, at once
  kOneQueue,       ///< one queue without tiers; the least loaded target
};

/// Tunables of a scheduler.
struct SchedulerOptions {
  SchedulePolicy policy = SchedulePolicy::kFull;
  std::uint64_t seed = 1;  ///< of come-back times and tie breaks
  int max_queued = 10'000;
  int max_attempts = 4;  ///< dispatches that ended in "not run"
  int poison_limit = 2;  ///< losses of targets to one content
  Duration poison_expiry = std::chrono::minutes(10);
  Duration stall_time = std::chrono::seconds(2);  ///< without progress
  /// Longest time that a closed rank takes to reach all entries in contact.
  Duration floor_settle = std::chrono::seconds(1);
  /// A rank stays closed this long after higher work last ran short.
  Duration floor_hold = std::chrono::seconds(5);
  /// Times that a target's limit keeps to.
  Duration first_part_target = std::chrono::milliseconds(740);
  Duration part_gap_target = std::chrono::milliseconds(73);

  bool operator==(const SchedulerOptions&) const = default;
};

/// What this entry tells its peers through gossip.
struct SchedulerFacts {
  /// Least rank closed here, by model; missing means none.
  std::map<std::string, int> closed_rank;
  /// Work offered here in the last second, in target-seconds, by model.
  std::map<std::string, double> demand;
  /// Fingerprints of content that crashed targets here, with their number.
  std::map<std::uint64_t, int> poison;
  int queued = 0;
  int in_flight = 0;

  bool operator==(const SchedulerFacts&) const = default;
};

/// Load levels of VersionEvidence: by how much of its concurrency limit the
/// target had in use when the request was dispatched.
inline constexpr int kLowLoad = 0;   ///< below half
inline constexpr int kHighLoad = 1;  ///< half or more

/// Totals of one version on one route, tier, length class and load level; sums
/// only grow while the entry lives. The scheduler decides which ends are the
/// version's own: those that are not go to `excluded`.
struct VersionEvidence {
  std::string model;
  std::string version;
  std::string workspace;
  std::string application;
  int tier_rank = 0;
  /// Class of the answer's expected length; any bounded set of numbers.
  int length_class = 0;
  int load_level = kLowLoad;
  std::uint64_t done = 0;     ///< answered whole
  std::uint64_t faults = 0;   ///< failed, truncated, too late or crashed
  std::uint64_t crashes = 0;  ///< those of `faults` that lost the target
  /// Ended badly for a cause outside the version: poison content, the caller
  /// left, a connection that went silent. In neither `done` nor `faults`.
  std::uint64_t excluded = 0;
  /// Sum of first-part times, and of their squares, in seconds, over `done`.
  double first_part_sum = 0;
  double first_part_square_sum = 0;
  /// The same over natural logarithms of the time in seconds.
  double first_part_log_sum = 0;
  double first_part_log_square_sum = 0;
  /// Answers of `done` with two parts or more, and sums over the natural
  /// logarithm of each one's mean gap between parts in seconds.
  std::uint64_t gaps = 0;
  double gap_log_sum = 0;
  double gap_log_square_sum = 0;

  bool operator==(const VersionEvidence&) const = default;
};

/// Decides for one entry: admission, order, target, retry and refusal. Has no
/// I/O: events and instants in, actions out. Not thread-safe; the control
/// thread owns it. Every request submitted gets exactly one end: AnswerDone
/// reported by the caller of this class, or one RefuseAction.
class Scheduler {
 public:
  static std::unique_ptr<Scheduler> Make(const SchedulerOptions& options);

  virtual ~Scheduler() = default;

  /// Replaces the view of the world; queued work is looked at again.
  virtual Actions SetView(std::shared_ptr<const ClusterView> view,
                          Time now) = 0;

  /// Takes a request; it is refused, queued or dispatched.
  virtual Actions Submit(const RequestSpec& request, Time now) = 0;

  /// Reports what happened to a request; unknown ids are ignored.
  virtual Actions OnEvent(const RequestEvent& event, Time now) = 0;

  /// Takes a target's load report as a hint with an age.
  virtual void OnLoadReport(const LoadReport& report, Time now) = 0;

  /// Takes cache events of a target, in order of arrival.
  virtual void OnCacheEvents(const TargetName& target,
                             const std::vector<CacheEvent>& events,
                             Time now) = 0;

  /// Does what is due by time: deadlines, stalls, expiry. Call at least every
  /// 100 ms.
  virtual Actions Tick(Time now) = 0;

  /// Refuses all new work from now on; what is queued or in flight goes on.
  virtual void Drain() = 0;

  /// Requests queued or in flight.
  virtual int Open() const = 0;

  virtual SchedulerFacts Facts(Time now) const = 0;
  virtual std::vector<VersionEvidence> Evidence() const = 0;

  /// Why a request was routed, queued or refused, in English; empty if not
  /// known any more. Keeps a bounded number of past requests.
  virtual std::string Explain(const RequestId& id) const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_SCHEDULER_H_
