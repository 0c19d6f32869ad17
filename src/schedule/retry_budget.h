#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_

#include <algorithm>

namespace hornbeamcleat {

/// Bounds retries to a part of first attempts, so that targets which refuse
/// work are not offered it many times over. A few are always saved up.
class RetryBudget {
 public:
  static constexpr double kUsualRatio = 0.1;
  static constexpr double kUsualSaved = 100;

  /// @param ratio retries earned by each first attempt
  /// @param most_saved retries saved up at the most, and at the start
  explicit RetryBudget(double ratio = kUsualRatio,
                       double most_saved = kUsualSaved)
      : ratio_(ratio), most_saved_(most_saved), tokens_(most_saved) {}

  /// A request was dispatched for the first time.
  void OnFirstAttempt() { tokens_ = std::min(most_saved_, tokens_ + ratio_); }

  /// Takes a retry out of the budget; false if there is none.
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// Retries that are left.
  double Left() const { return tokens_; }

 private:
  double ratio_;
  double most_saved_;
  double tokens_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_
