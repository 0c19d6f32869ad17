#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_

#include <algorithm>

namespace hornbeamcleat {

/// Bounds retries to a part of first attempts, so that targets which refuse
/// work are not offered it many times over. A few are always saved up.
class RetryBudget {
 public:
  /// A request was dispatched for the first time.
  void OnFirstAttempt() {
    tokens_ = std::min(kMaxTokens, tokens_ + kRetriesPerAttempt);
  }

  /// Takes a retry out of the budget; false if there is none.
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kMaxTokens = 100;
  static constexpr double kRetriesPerAttempt = 0.1;

  double tokens_ = kMaxTokens;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_
