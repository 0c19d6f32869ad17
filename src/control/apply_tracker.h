#ifndef HORNBEAMCLEAT_SRC_CONTROL_APPLY_TRACKER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_APPLY_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "hornbeamcleat/config/config_state.h"
#include "src/control/control_core.h"

namespace hornbeamcleat {

/// Finds out what became of operators' changes: a change is decided when its
/// record is folded, not when its append is answered.
class ApplyTracker {
 public:
  /// Remembers a change whose append was started with `token`.
  void Begin(std::uint64_t token, ControlCore::ApplyCallback callback,
             Time expires);

  /// Takes the end of an append; false if `token` is not one of its own.
  bool OnAppendEnd(std::uint64_t token, AppendEnd end, std::uint64_t offset);

  /// Takes the result of folding the record at `offset`.
  void OnFolded(std::uint64_t offset, FoldResult result);

  /// Answers "unknown" for what has waited too long.
  void Tick(Time now);

 private:
  struct Waiting {
    ControlCore::ApplyCallback callback;
    Time expires;
    std::uint64_t offset = 0;  // 0 until the append is answered
  };

  void Finish(std::map<std::uint64_t, Waiting>::iterator it,
              const ApplyAnswer& answer);
  bool TryFinish(std::map<std::uint64_t, Waiting>::iterator it);

  std::map<std::uint64_t, Waiting> waiting_;                 // by token
  std::deque<std::pair<std::uint64_t, FoldResult>> folded_;  // latest last
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_APPLY_TRACKER_H_
