#ifndef HORNBEAMCLEAT_TESTS_SOAK_LIMIT_JUDGE_H_
#define HORNBEAMCLEAT_TESTS_SOAK_LIMIT_JUDGE_H_

#include <deque>
#include <map>
#include <optional>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Judges from what one target receives whether VMs keep to the limit on
/// requests that it states.
class LimitJudge {
 public:
  /// The target's answers state a limit from now on; nullopt: none any more.
  void SetLimit(std::optional<double> per_second, Time now);
  std::optional<double> Limit() const { return limit_; }

  /// An answer that states the limit is passed on to a VM by `at`.
  void OnTold(int vm, Time at);

  /// Counts a request.
  /// @param vm_disturbed latest start, stop or freeze of the VM, which excuses
  ///   it of what it was told before
  /// @param link_disturbed latest fault of the target's links, which hold
  ///   requests up
  /// @return whether this is the first one too many
  bool OnRequest(int vm, Time vm_disturbed, Time link_disturbed, Time now);

 private:
  std::optional<double> limit_;
  Time first_stated_at_;
  double highest_ = 0;  ///< limit that was stated in the current window
  Time highest_until_;
  std::map<int, Time> told_;  ///< by VM
  std::deque<Time> requests_;
  bool is_broken_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_SOAK_LIMIT_JUDGE_H_
