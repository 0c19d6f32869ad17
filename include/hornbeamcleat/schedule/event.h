#ifndef HORNBEAMCLEAT_SCHEDULE_EVENT_H_
#define HORNBEAMCLEAT_SCHEDULE_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// What the log said of a non-idempotent request's intent.
enum class IntentResult {
  kWon,          ///< this attempt may run
  kLost,         ///< another attempt with the key may run or has run
  kUnavailable,  ///< surely not recorded as ours; nothing may run
  kExpired,      ///< the key is older than the log keeps
};

/// The intent's decision is known.
struct IntentDecided {
  RequestId id;
  IntentResult result = IntentResult::kUnavailable;
};

/// No byte reached the target, or the target itself said "not run".
struct TargetNotRun {
  RequestId id;
  bool reported_by_target =
      false;                ///< the target said so, rather than no connection
  Duration retry_after{0};  ///< from the target; 0 if it gave none
};

/// The target took the request; from now on it may have run.
struct RequestSent {
  RequestId id;
};

/// Parts arrived; sent for the first one and then at most every 100 ms.
struct PartsReceived {
  RequestId id;
  std::uint32_t parts = 0;  ///< total so far
};

/// The whole answer arrived.
struct AnswerDone {
  RequestId id;
  std::uint32_t parts = 0;
  std::uint32_t cached_tokens = 0;  ///< prompt tokens the target had cached
};

/// The target answered with a failure.
struct TargetFailed {
  RequestId id;
};

/// The connection to the target broke after sending began.
struct ConnectionLost {
  RequestId id;
};

/// A resume was accepted and parts flow again.
struct Resumed {
  RequestId id;
};

/// A resume was refused or could not connect.
struct ResumeFailed {
  RequestId id;
  bool target_alive = false;  ///< it answered, but no longer knows the request
};

/// The caller went away.
struct CallerGone {
  RequestId id;
};

using RequestEvent =
    std::variant<IntentDecided, TargetNotRun, RequestSent, PartsReceived,
                 AnswerDone, TargetFailed, ConnectionLost, Resumed,
                 ResumeFailed, CallerGone>;

/// A target's own load report, already old when it arrives.
struct LoadReport {
  TargetName target;
  Time received;
  int running = 0;
  int waiting = 0;
  double kv_used_ratio = 0;
  bool leaving = false;  ///< the target refuses new work
};

/// One change of a target's prefix cache.
struct CacheEvent {
  std::uint64_t sequence = 0;  ///< per target; a jump is a gap
  bool stored = true;          ///< false when evicted
  std::uint64_t block = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_EVENT_H_
