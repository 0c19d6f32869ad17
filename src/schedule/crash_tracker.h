#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_CRASH_TRACKER_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_CRASH_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/cluster_view.h"
#include "hornbeamcleat/schedule/request.h"
#include "src/serving/loss_table.h"
#include "src/serving/target_run.h"

namespace hornbeamcleat {

/// Decides which requests one entry refuses because requests like them crash
/// targets. Keeps the losses by property in a LossTable and exchanges reports
/// with other entries.
class CrashTracker {
 public:
  enum class Verdict {
    kAccepted,
    kTrial,  ///< accepted although a property is refused
    kRefused,
  };

  /// @param limit lost targets from which a content or part is refused
  /// @param expiry time after which what was refused is no longer remembered
  CrashTracker(int limit, Duration expiry)
      : losses_({limit, expiry / LossTable::kMemoryFactor}) {}

  /// Merges what other entries report.
  void SetView(const ClusterView& view, Time now);

  /// Checks a new request. A trial that is due is taken.
  Verdict Check(const RequestSpec& spec, Time now);

  /// Whether a property of the request is refused.
  bool IsRefused(const RequestSpec& spec) const {
    return !losses_.RefusedOf(spec.properties).empty();
  }

  /// Whether a refused property of the request was not answered lately.
  bool IsLikelyDeadly(const RequestSpec& spec, Time now) const;

  /// Whether targets were lost while they ran requests like this one.
  bool IsSuspect(const RequestSpec& spec, Time now) const {
    return losses_.FindSuspect(spec.properties, now) != nullptr;
  }

  /// Whether a refused property explains the loss of the run's target.
  bool IsExplained(const TargetRun& run) const {
    return losses_.IsExplained(run.target);
  }

  /// Time until a request like this one may be tried again.
  Duration TimeToTrial(const RequestSpec& spec, Time now) const {
    return losses_.TimeToTrial(spec.properties, now);
  }

  /// Records that a request is sent.
  TargetRun OnSent(const RequestSpec& spec, const TargetName& target,
                   Verdict verdict, Time now);
  void OnBegun(const TargetRun& run, Time now) {
    losses_.OnTargetAnswered(run.target, run.sent_at, now);
  }
  void OnAnswered(const TargetRun& run, Time began_at, Time now) {
    losses_.OnAnswered(run, began_at, now);
  }
  void OnTargetLost(const TargetRun& run, Time now) {
    losses_.OnTargetLost(run, now);
  }
  /// Records that a run was cancelled.
  void OnAbandoned(const TargetRun& run, Time now) {
    losses_.OnAbandoned(run, now);
  }
  void OnUnreached(const TargetName& target, Time now) {
    losses_.OnTargetUnreached(IncarnationOf(target), now);
  }

  /// Whether properties became refused since the last call.
  bool TakeNewlyRefused() { return !losses_.TakeNewlyRefused().empty(); }

  /// Forgets what has expired, and updates the report.
  void Tick(Time now);

  /// What this entry has seen itself, for other entries.
  const SequencedLosses& Report() const { return report_; }

 private:
  /// Targets don't tell their starts, so those are counted by known losses.
  std::uint32_t IncarnationOf(const TargetName& target) const;

  LossTable losses_;
  std::map<std::string, SequencedLosses> merged_;  ///< latest ones, by VM
  int entry_count_ = 1;
  int entry_index_ = 0;
  SequencedLosses report_;
  std::uint64_t reported_changes_ = 0;
  Time reported_at_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_CRASH_TRACKER_H_
