#ifndef HORNBEAMCLEAT_SRC_SERVING_TARGET_LIMITS_H_
#define HORNBEAMCLEAT_SRC_SERVING_TARGET_LIMITS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/target_statement.h"

namespace hornbeamcleat {

/// Limits on requests that targets have stated in answers to this VM.
class TargetLimits {
 public:
  struct Stated {
    double per_second = 0;
    Time at;

    bool operator==(const Stated&) const = default;
  };

  /// Records a limit. Returns whether it differs from the one before.
  bool OnStated(const TargetInstance& target, double per_second, Time now);

  /// Returns the latest limit of this start of the target.
  std::optional<Stated> Find(const TargetInstance& target) const;

 private:
  struct State {
    std::int64_t start_time_ms = 0;
    Stated stated;
  };

  std::unordered_map<std::uint64_t, State> states_;  ///< by hash of the ID
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_TARGET_LIMITS_H_
