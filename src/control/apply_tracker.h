#ifndef HORNBEAMCLEAT_SRC_CONTROL_APPLY_TRACKER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_APPLY_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>

#include "hornbeamcleat/config/config_tail.h"
#include "src/control/control_core.h"

namespace hornbeamcleat {

/// Finds out what became of operators' changes: a change is decided when its
/// record is folded, not when its append is answered.
class ApplyTracker {
 public:
  /// Remembers a change whose append was started with `token`.
  /// @param writer tag of its record, by which it is found when the append's
  ///   answer is lost
  void Begin(std::uint64_t token, const std::string& writer,
             ControlCore::ApplyCallback callback, Time expires);

  /// Takes the end of an append; false if `token` is not one of its own.
  bool OnAppendFinished(std::uint64_t token, AppendStatus status);

  /// Takes the result of folding a record.
  void OnFolded(const FoldedRecord& record);

  /// Answers "unknown" for what has waited too long.
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
