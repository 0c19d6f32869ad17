#ifndef HORNBEAMCLEAT_SCHEDULE_ACTION_H_
#define HORNBEAMCLEAT_SCHEDULE_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/outcome.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Records the intent of a non-idempotent request in the log. The request is
/// not dispatched before the matching IntentDecided event.
struct RecordIntentAction {
  RequestId id;
  std::string key;

  bool operator==(const RecordIntentAction&) const = default;
};

/// Sends the request to the target.
struct DispatchAction {
  RequestId id;
  TargetName target;
  std::string address;  ///< IP:PORT
  std::string version;
  Duration remaining;  ///< time left until the deadline

  bool operator==(const DispatchAction&) const = default;
};

/// Opens a second connection to the same target and requests the answer from
/// the offset after the last part received. Never runs the request again.
struct ResumeAction {
  RequestId id;
  TargetName target;
  std::string address;

  bool operator==(const ResumeAction&) const = default;
};

/// Tells the target to stop working on the request and discard it.
struct CancelAction {
  RequestId id;
  TargetName target;
  std::string address;

  bool operator==(const CancelAction&) const = default;
};

/// Ends the request with a final answer to the caller.
struct RefuseAction {
  RequestId id;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNotReady;
  Duration retry_after{0};  ///< delay before a retry; 0 means do not retry

  bool operator==(const RefuseAction&) const = default;
};

using Action = std::variant<RecordIntentAction, DispatchAction, ResumeAction,
                            CancelAction, RefuseAction>;
using Actions = std::vector<Action>;

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_ACTION_H_
