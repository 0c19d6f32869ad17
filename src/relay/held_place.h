#ifndef HORNBEAMCLEAT_SRC_RELAY_HELD_PLACE_H_
#define HORNBEAMCLEAT_SRC_RELAY_HELD_PLACE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "src/serving/target_balancer.h"

namespace hornbeamcleat {

class VersionMoves;
class WaitQueue;

/// Place at a target that one request holds, from its placement to the end of
/// the attempt. Tells the decisions what the attempt shows of the target.
class HeldPlace {
 public:
  /// What takes note of the attempt.
  struct Watchers {
    TargetBalancer* board = nullptr;
    WaitQueue* line = nullptr;
    VersionMoves* moves = nullptr;
  };
  /// Request that holds the place.
  struct Request {
    std::string service;
    std::string route;
    std::uint32_t prompt_tokens = 0;
  };

  HeldPlace(const Watchers& watchers, Request request,
            const Placement& placement, Time now);

  const std::string& Target() const { return placement_.target; }
  bool HadFirstEvent() const { return had_first_event_; }

  /// The first event or the answer's head is there.
  /// @return time since the placement, or nullopt if there was one before
  std::optional<Duration> OnFirstEvent(Time now);

  /// Gives the place back.
  /// @param may_have_run whether the target had the request
  void End(TargetOutcome outcome, bool may_have_run, Time now);

 private:
  void TellMoves(TargetOutcome outcome) const;

  const Watchers watchers_;
  const Request request_;
  const Placement placement_;
  const Time since_;
  std::string version_;  ///< software of the target
  bool had_first_event_ = false;
  FirstEventStats finding_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HELD_PLACE_H_
