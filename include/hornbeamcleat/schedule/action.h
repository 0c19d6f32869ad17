#ifndef HORNBEAMCLEAT_SCHEDULE_ACTION_H_
#define HORNBEAMCLEAT_SCHEDULE_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/outcome.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Append the intent of a non-idempotent request to the log; answer with
/// IntentDecided. Nothing is dispatched before.
struct RecordIntentAction {
  RequestId id;
  std::string key;

  bool operator==(const RecordIntentAction&) const = default;
};

/// Send the request to the target.
struct DispatchAction {
  RequestId id;
  TargetName target;
  std::string address;  ///< IP:PORT
  std::string version;
  Duration remaining;  ///< time left until the deadline

  bool operator==(const DispatchAction&) const = default;
};

/// Open a second connection to the same target and ask for the answer from the
/// offset after the last part received. Never runs the request again.
struct ResumeAction {
  RequestId id;
  TargetName target;
  std::string address;

  bool operator==(const ResumeAction&) const = default;
};

/// Tell the target to stop work on the request and forget it.
struct CancelAction {
  RequestId id;
  TargetName target;
  std::string address;

  bool operator==(const CancelAction&) const = default;
};

/// Give the caller its final answer now.
struct RefuseAction {
  RequestId id;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNotReady;
  Duration retry_after{0};  ///< when to come back; 0 means do not

  bool operator==(const RefuseAction&) const = default;
};

using Action = std::variant<RecordIntentAction, DispatchAction, ResumeAction,
                            CancelAction, RefuseAction>;
using Actions = std::vector<Action>;

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SCHEDULE_ACTION_H_
