#ifndef HORNBEAMCLEAT_SRC_RELAY_TARGET_ATTEMPT_H_
#define HORNBEAMCLEAT_SRC_RELAY_TARGET_ATTEMPT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "src/serving/target_balancer.h"

namespace hornbeamcleat {

class VersionMoves;
class WaitQueue;

/// Attempt of a request at a target, from placement to its end. Occupies a
/// slot at the target and reports the outcome to the scheduling state.
class TargetAttempt {
 public:
  /// Scheduling state that is updated by the attempt.
  struct Observers {
    TargetBalancer* targets = nullptr;
    WaitQueue* queue = nullptr;
    VersionMoves* moves = nullptr;
  };
  /// Properties of the request.
  struct Request {
    std::string service;
    std::string route;
    std::uint32_t prompt_tokens = 0;
  };

  TargetAttempt(const Observers& observers, Request request,
                const Placement& placement, Time now);

  const std::string& Target() const { return placement_.target; }
  /// Identifies the target and its start.
  const std::string& Incarnation() const { return incarnation_; }
  /// Whether the target stated a limit when the request was placed.
  bool IsCountedByLimit() const { return is_counted_by_limit_; }
  /// Whether the target was cold when the request was placed.
  bool IsCountedAsCold() const { return is_counted_as_cold_; }
  bool HadFirstEvent() const { return had_first_event_; }

  /// Records that the request is sent.
  void OnSent() const;

  /// Records the first event or, without events, the head of the response.
  /// @return time since the placement, or nullopt if already recorded
  std::optional<Duration> OnFirstEvent(Time now);

  /// Records bytes of a stream's events.
  void OnStreamBytes(Time now);
  /// The pause that follows isn't the target's: its response isn't read, or
  /// this process was suspended.
  void SkipPause() { last_bytes_at_.reset(); }
  /// Returns when CheckPause() should be called next; nullopt if the stream's
  /// pauses don't matter, or no longer.
  std::optional<Time> PauseCheckDue(Time now) const;
  /// Counts the stream as failed if it has stalled. Its caller may leave before
  /// it ends, and a version move may end earlier.
  void CheckPause(Time now);

  /// Ends the attempt and frees the slot.
  /// @param may_have_run whether the target may have received the request
  void Finish(TargetOutcome outcome, bool may_have_run, Time now);

 private:
  void ReportPauses() const;
  void ReportToMoves(TargetOutcome outcome, Time now) const;

  const Observers observers_;
  const Request request_;
  const Placement placement_;
  const Time started_at_;
  /// Probability with which the request was placed on the new version.
  const double new_share_;
  std::string version_;      ///< software version of the target
  std::string incarnation_;  ///< of the target
  bool is_counted_by_limit_ = false;
  bool is_counted_as_cold_ = false;
  bool had_first_event_ = false;
  FirstEventStats finding_;
  std::optional<Time> last_bytes_at_;  ///< of a stream
  int pauses_ = 0;                     ///< measured
  Duration longest_pause_{0};          ///< of these
  bool has_stalled_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_TARGET_ATTEMPT_H_
