#ifndef HORNBEAMCLEAT_SRC_BASE_LOOP_PROBE_H_
#define HORNBEAMCLEAT_SRC_BASE_LOOP_PROBE_H_

#include <atomic>
#include <memory>
#include <optional>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

class PollLoop;

/// Tells from another thread whether a loop still runs what is posted to it.
class LoopProbe {
 public:
  /// @param loop must outlive the probe
  explicit LoopProbe(PollLoop* loop) : loop_(loop) {}

  /// Returns for how long the last probe has gone unanswered, or 0 if it was
  /// answered; then posts the next one.
  Duration Check(Time now);

 private:
  PollLoop* const loop_;
  std::optional<Time> sent_;
  std::shared_ptr<std::atomic<bool>> is_answered_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_LOOP_PROBE_H_
