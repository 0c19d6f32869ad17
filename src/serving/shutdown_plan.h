#ifndef HORNBEAMCLEAT_SRC_SERVING_SHUTDOWN_PLAN_H_
#define HORNBEAMCLEAT_SRC_SERVING_SHUTDOWN_PLAN_H_

#include <map>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Times of a graceful shutdown, from its start on, within the time that the
/// deployment allows until the process is killed.
struct ShutdownTimes {
  Duration serve{0};     ///< requests are taken until then
  Duration min_exit{0};  ///< earliest exit; callers cache addresses for as long
  Duration answer{0};    ///< what has no answer by then is answered
  Duration exit{0};      ///< latest exit

  static ShutdownTimes ForGrace(Duration grace);

  bool operator==(const ShutdownTimes&) const = default;
};

/// How long requests of each route take, to tell whether one more can end
/// before the process exits.
///
/// Load pattern: a VM is stopped under load while callers go on using its
/// connections. A request that is taken and cut may not be repeated, while one
/// that is refused is served by another VM at once.
class RequestDurations {
 public:
  /// Records a request that was answered, from its arrival to its last byte.
  void OnAnswered(const std::string& route, Duration duration);

  /// Whether a request of this route is likely to end within `left`. One of a
  /// route without answers so far may.
  bool FitsInto(const std::string& route, Duration left) const;

 private:
  /// Decaying maximum, by route.
  std::map<std::string, Duration> longest_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_SHUTDOWN_PLAN_H_
