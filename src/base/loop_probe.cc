#include "src/base/loop_probe.h"

#include "src/base/poll_loop.h"

namespace hornbeamcleat {

Duration LoopProbe::Check(Time now) {
  if (sent_.has_value() && !*is_answered_) {
    return now - *sent_;
  }
  sent_ = now;
  is_answered_ = std::make_shared<std::atomic<bool>>(false);
  loop_->Post([is_answered = is_answered_] { *is_answered = true; });
  return Duration(0);
}

}  // namespace hornbeamcleat
