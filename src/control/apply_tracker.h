#ifndef HORNBEAMCLEAT_SRC_CONTROL_APPLY_TRACKER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_APPLY_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>

#include "hornbeamcleat/config/config_tail.h"
#include "src/control/control_core.h"

namespace hornbeamcleat {

/// Tracks the outcome of operators' changes. A change is decided when its
/// record is applied to the configuration, not when its append completes.
class ApplyTracker {
 public:
  /// Tracks a change whose append was started with `token`.
  /// @param writer tag of the record; identifies it in the log when the result
  ///   of the append is lost
  void Begin(std::uint64_t token, const std::string& writer,
             ControlCore::ApplyCallback callback, Time expires);

  /// Handles the end of an append.
  /// @return false if no pending change has this token
  bool OnAppendFinished(std::uint64_t token, AppendStatus status);

  /// Completes the change that wrote `record`, if it is pending.
  void OnFolded(const FoldedRecord& record);

  /// Completes expired changes with kUnknown.
  void Tick(Time now);

 private:
  struct PendingChange {
    ControlCore::ApplyCallback callback;
    Time expires;
    std::string writer;
  };

  void Finish(std::map<std::uint64_t, PendingChange>::iterator it,
              const ApplyResult& result);

  std::map<std::uint64_t, PendingChange> pending_;  // by token
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_APPLY_TRACKER_H_
