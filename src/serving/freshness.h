#ifndef HORNBEAMCLEAT_SRC_SERVING_FRESHNESS_H_
#define HORNBEAMCLEAT_SRC_SERVING_FRESHNESS_H_

#include <optional>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Tracks when the active configuration was last known to be current. All times
/// are on a clock that includes VM suspension.
class Freshness {
 public:
  /// Records that a read sent at `sent` confirmed or replaced the
  /// configuration.
  void OnRead(Time sent) {
    if (!proven_.has_value() || sent > *proven_) {
      proven_ = sent;
    }
  }

  /// Whether the configuration was current less than `limit` ago, so that none
  /// of its keys can have been revoked for `limit` or longer.
  bool IsWithin(Time now, Duration limit) const {
    return proven_.has_value() && now - *proven_ < limit;
  }

  /// Returns the time since the configuration was last known to be current, or
  /// nullopt before the first read.
  std::optional<Duration> Age(Time now) const {
    return proven_.has_value() ? std::optional<Duration>(now - *proven_)
                               : std::nullopt;
  }

 private:
  std::optional<Time> proven_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_FRESHNESS_H_
