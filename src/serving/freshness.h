#ifndef HORNBEAMCLEAT_SRC_SERVING_FRESHNESS_H_
#define HORNBEAMCLEAT_SRC_SERVING_FRESHNESS_H_

#include <optional>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Proof that the configuration in force was the newest at some instant. All
/// instants are on a clock that goes on while the VM is suspended.
class Freshness {
 public:
  /// A read that was sent at `sent` has confirmed or replaced the
  /// configuration.
  void OnRead(Time sent) {
    if (!proven_.has_value() || sent > *proven_) {
      proven_ = sent;
    }
  }

  /// Whether a key that the configuration holds can't have been taken away for
  /// `limit` or longer.
  bool Holds(Time now, Duration limit) const {
    return proven_.has_value() && now - *proven_ < limit;
  }

  /// Time since the proof, or nullopt if there is none yet.
  std::optional<Duration> Age(Time now) const {
    return proven_.has_value() ? std::optional<Duration>(now - *proven_)
                               : std::nullopt;
  }

 private:
  std::optional<Time> proven_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_FRESHNESS_H_
