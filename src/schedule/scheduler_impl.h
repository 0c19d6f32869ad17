#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_SCHEDULER_IMPL_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_SCHEDULER_IMPL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/admission.h"
#include "src/schedule/crash_tracker.h"
#include "src/schedule/dispatcher.h"
#include "src/schedule/outlier_ejection.h"
#include "src/schedule/request_state.h"
#include "src/schedule/request_timers.h"
#include "src/schedule/retry_budget.h"
#include "src/schedule/version_totals.h"

namespace hornbeamcleat {

/// Implementation of Scheduler. Owns the open requests and advances each
/// through its phases.
class SchedulerImpl : public Scheduler {
 public:
  explicit SchedulerImpl(const SchedulerOptions& options);

  Actions SetView(std::shared_ptr<const ClusterView> view, Time now) override;
  Actions Submit(const RequestSpec& spec, Time now) override;
  Actions OnEvent(const RequestEvent& event, Time now) override;
  void OnLoadReport(const LoadReport& report, Time now) override;
  void OnCacheEvents(const TargetName& target,
                     const std::vector<CacheEvent>& events, Time now) override;
  Actions Tick(Time now) override;
  void Drain() override { draining_ = true; }
  int Open() const override { return static_cast<int>(requests_.size()); }
  SchedulerFacts Facts(Time now) const override;
  std::vector<VersionEvidence> Evidence() const override;
  std::string Explain(const RequestId& id) const override;

 private:
  std::shared_ptr<const Route> Resolve(const RequestSpec& spec, Reason* reason);
  void Enqueue(RequestState* request, Time now, Actions* actions);
  std::optional<Reason> Refusal(RequestState* request, Time now) const;
  bool MakeRoom(RequestState* request, Time now, Actions* actions);
  void OnShortage(const RequestState& request, Time now, Actions* actions);
  void DisplaceClosed(ModelState* model, Time now, Actions* actions);

  void On(const IntentDecided& event, RequestState* request, Time now,
          Actions* actions);
  void On(const TargetNotRun& event, RequestState* request, Time now,
          Actions* actions);
  void On(const RequestSent& event, RequestState* request, Time now,
          Actions* actions);
  void On(const PartsReceived& event, RequestState* request, Time now,
          Actions* actions);
  void On(const AnswerDone& event, RequestState* request, Time now,
          Actions* actions);
  void On(const TargetFailed& event, RequestState* request, Time now,
          Actions* actions);
  void On(const ConnectionLost& event, RequestState* request, Time now,
          Actions* actions);
  void On(const Resumed& event, RequestState* request, Time now,
          Actions* actions);
  void On(const ResumeFailed& event, RequestState* request, Time now,
          Actions* actions);
  void On(const CallerGone& event, RequestState* request, Time now,
          Actions* actions);

  void OnProgress(RequestState* request, Time now);
  void Resume(RequestState* request, Time now, Actions* actions);
  void AbortInFlight(RequestState* request, Reason reason, Time now,
                     Actions* actions);
  void Requeue(RequestState* request, Time now, Actions* actions);
  void RecordParts(RequestState* request, std::uint32_t parts, Time now);
  void OnTargetFault(RequestState* request, Time now);
  /// Refuses waiting requests that are like those which crash targets, and
  /// withdraws those that their targets have not begun to answer.
  void RefuseLikelyCrashes(Time now, Actions* actions);
  void OnTimer(RequestState* request, Time now, Actions* actions);
  void OnWaitingTimer(RequestState* request, Time now, Actions* actions);
  void OnInFlightTimer(RequestState* request, Time now, Actions* actions);
  void Refuse(RequestState* request, Outcome outcome, Reason reason, Time now,
              Actions* actions);
  Duration RetryAfter(ModelState* model, Outcome outcome, Reason reason,
                      Time now);
  Duration RetryAfterTrial(const RequestSpec& spec, Time now);
  void Explain(const RequestState& request, const RefuseAction* refusal,
               Time now);
  void UpdateLimits(Time now);
  void Erase(RequestState* request);

  const SchedulerOptions options_;
  std::shared_ptr<const ClusterView> view_;
  RouteCache routes_;
  Dispatcher dispatcher_;
  Admission admission_;
  OutlierEjection ejection_;
  CrashTracker crashes_;
  RetryBudget retries_;
  RetryPacer retry_pacer_;
  std::mt19937_64 random_;
  VersionTotals evidence_;
  std::unordered_map<RequestId, std::unique_ptr<RequestState>> requests_;
  /// Timers for the expiry of waiting requests and for stalls and deadlines of
  /// requests in flight.
  RequestTimers timers_;
  std::uint64_t next_sequence_ = 0;
  bool draining_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_SCHEDULER_IMPL_H_
