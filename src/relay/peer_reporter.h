#ifndef HORNBEAMCLEAT_SRC_RELAY_PEER_REPORTER_H_
#define HORNBEAMCLEAT_SRC_RELAY_PEER_REPORTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/base/timer_service.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/serving_source.h"
#include "src/serving/scale_plan.h"

namespace hornbeamcleat {

class AdmissionController;
class Clock;
class PeerLink;
class PollLoop;
class TargetBalancer;
class VersionMoves;
class VmDirectory;
class WaitQueue;

/// Tells the other VMs what this one does: changes at once, everything with a
/// heartbeat. How soon and how far follows from the number of VMs.
class PeerReporter {
 public:
  /// What is told.
  struct Parts {
    AdmissionController* desk = nullptr;
    TargetBalancer* board = nullptr;
    WaitQueue* line = nullptr;
    const VersionMoves* moves = nullptr;
    const VmDirectory* directory = nullptr;
    std::function<bool()> is_ready;
  };

  PeerReporter(PollLoop* loop, const Clock* clock, PeerLink* link,
               VmRecord self, Parts parts);

  void SetPlan(const ScalePlan& plan) { plan_ = plan; }

  /// Tells of changes to work and queues, unless the peers were told a moment
  /// ago; then a little later.
  void TellSoon();
  /// Tells all VMs everything now.
  void TellAll() { Tell(true, true); }

 private:
  void Heartbeat();
  void Tell(bool with_details, bool reaches_far);
  void TellPressedQuotas();
  PeerState NextState();
  PeerDetails Details(Time now) const;
  std::vector<std::string> NearLinks() const;

  PollLoop* const loop_;
  const Clock* const clock_;
  PeerLink* const link_;
  const VmRecord self_;
  const Parts parts_;
  ScalePlan plan_;
  std::uint64_t incarnation_ = 0;
  std::uint32_t sequence_ = 0;
  std::uint64_t told_changes_ = 0;
  Time told_at_;
  Time told_far_at_;
  Time detailed_at_;
  Time far_detailed_at_;
  std::unique_ptr<TimerService::Subscription> heartbeat_;
  std::unique_ptr<TimerService::Subscription> tell_timer_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_PEER_REPORTER_H_
