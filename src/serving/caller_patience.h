#ifndef HORNBEAMCLEAT_SRC_SERVING_CALLER_PATIENCE_H_
#define HORNBEAMCLEAT_SRC_SERVING_CALLER_PATIENCE_H_

#include <cstddef>
#include <map>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Tells callers that retry from new ones, by the time for which they still
/// wait.
///
/// Load pattern: demand exceeds capacity for seconds, and each refused caller
/// comes back once, at another VM and with a new request ID, mixed with new
/// callers. Its latency objective counts from its first attempt, so that it is
/// likely to be late already, while a new caller can still be served in time.
///
/// The usual waiting time of a route's callers is estimated as a high quantile,
/// which first attempts determine even if half of all requests are retries.
/// Each request moves the estimate by a small factor only, so that single
/// callers with odd values don't make others look like retries.
class CallerPatience {
 public:
  /// Records a request.
  /// @param time_left for which its caller still waits
  /// @return for how long the caller is likely to have waited before, or zero
  ///   if it can't be told from a new one
  Duration WaitedBefore(const std::string& route, Duration time_left);

 private:
  /// Routes of an old configuration are dropped above this number.
  static constexpr std::size_t kMaxRoutes = 8'192;

  struct Estimate {
    Duration usual{0};
    int samples = 0;
  };

  std::map<std::string, Estimate> routes_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_CALLER_PATIENCE_H_
