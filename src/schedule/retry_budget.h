#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_

#include <algorithm>

namespace hornbeamcleat {

/// Token bucket that limits retries to a ratio of first attempts, so that
/// retries don't multiply the load on targets that reject work. A full bucket
/// allows a short burst of retries.
class RetryBudget {
 public:
  static constexpr double kDefaultRatio = 0.1;
  static constexpr double kDefaultCapacity = 100;

  /// @param ratio tokens added by each first attempt; a retry takes one token
  /// @param capacity maximum and initial number of tokens
  explicit RetryBudget(double ratio = kDefaultRatio,
                       double capacity = kDefaultCapacity)
      : ratio_(ratio), capacity_(capacity), tokens_(capacity) {}

  /// Sets the maximum number of tokens; those beyond it are lost.
  void SetCapacity(double capacity) {
    capacity_ = capacity;
    tokens_ = std::min(tokens_, capacity);
  }

  /// Records the first dispatch of a request.
  void OnFirstAttempt() { tokens_ = std::min(capacity_, tokens_ + ratio_); }

  /// Takes one token; returns false if there is none.
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// Number of tokens left.
  double Left() const { return tokens_; }

 private:
  double ratio_;
  double capacity_;
  double tokens_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_RETRY_BUDGET_H_
