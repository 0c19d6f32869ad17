#ifndef HORNBEAMCLEAT_SCHEDULE_EVENT_H_
#define HORNBEAMCLEAT_SCHEDULE_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Result of recording a non-idempotent request's intent in the log.
enum class IntentResult {
  kWon,          ///< this attempt may run
  kLost,         ///< another attempt with the key may run or has run
  kUnavailable,  ///< known not to be recorded for this attempt; nothing may run
  kExpired,      ///< the key is older than the log's retention
};

/// The log has decided on the request's intent.
struct IntentDecided {
  RequestId id;
  IntentResult result = IntentResult::kUnavailable;
};

/// No byte reached the target, or the target itself reported "not run".
struct TargetNotRun {
  RequestId id;
  bool reported_by_target = false;  ///< false if it was not reached
  Duration retry_after{0};          ///< requested by the target; 0 if none
};

/// The target accepted the request; from here on it may have run.
struct RequestSent {
  RequestId id;
};

/// Parts of the answer arrived. Reported for the first part and then at most
/// every 100 ms.
struct PartsReceived {
  RequestId id;
  std::uint32_t parts = 0;  ///< total so far
};

/// The complete answer arrived.
struct AnswerDone {
  RequestId id;
  std::uint32_t parts = 0;
  std::uint32_t cached_tokens = 0;  ///< prompt tokens the target had cached
};

/// The target reported a failure.
struct TargetFailed {
  RequestId id;
};

/// The connection to the target was lost after sending began.
struct ConnectionLost {
  RequestId id;
};

/// The target accepted a resume and parts arrive again.
struct Resumed {
  RequestId id;
};

/// The target rejected a resume, or connecting to it failed.
struct ResumeFailed {
  RequestId id;
  bool target_alive = false;  ///< it answered, but no longer knows the request
};

/// The caller disconnected.
struct CallerGone {
  RequestId id;
};

using RequestEvent =
    std::variant<IntentDecided, TargetNotRun, RequestSent, PartsReceived,
                 AnswerDone, TargetFailed, ConnectionLost, Resumed,
                 ResumeFailed, CallerGone>;

/// Load reported by a target. Already stale when it arrives.
struct LoadReport {
  TargetName target;
  Time received;
  int running = 0;
  int waiting = 0;
  double kv_used_ratio = 0;
  bool leaving = false;  ///< the target refuses new work
};

/// One change to a target's prefix cache.
struct CacheEvent {
  std::uint64_t sequence =
      0;               ///< per target; a skipped number means lost events
  bool stored = true;  ///< false when evicted
  std::uint64_t block = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_EVENT_H_
