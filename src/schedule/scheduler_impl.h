#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_SCHEDULER_IMPL_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_SCHEDULER_IMPL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/dispatcher.h"
#include "src/schedule/version_totals.h"
#include "src/schedule/request_state.h"

namespace hornbeamcleat {

/// The scheduler: owns open requests and drives each through its phases.
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
  /// When to look at a request again: expiry while it waits, else stall and
  /// deadline checks.
  using Timers = std::set<std::pair<Time, RequestState*>>;

  bool Resolve(const RequestSpec& spec, Route* route, Reason* reason) const;
  void Enqueue(RequestState* request, Time now, Actions* actions);
  void MakeRoom(const RequestState& request, Actions* actions);

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

  void Progress(RequestState* request, Time now);
  void Resume(RequestState* request, Time now, Actions* actions);
  void GiveUpInFlight(RequestState* request, Reason reason, Actions* actions);
  void Due(RequestState* request, Time now, Actions* actions);
  void SetTimer(RequestState* request, Time at);
  void Refuse(RequestState* request, Outcome outcome, Reason reason,
              Actions* actions);
  void Erase(RequestState* request);

  const SchedulerOptions options_;
  std::shared_ptr<const ClusterView> view_;
  Dispatcher dispatcher_;
  VersionTotals evidence_;
  std::unordered_map<RequestId, std::unique_ptr<RequestState>> requests_;
  Timers timers_;
  std::uint64_t next_sequence_ = 0;
  bool draining_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_SCHEDULER_IMPL_H_
