#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_COME_BACK_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_COME_BACK_H_

#include <random>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Tells refused callers when to come back, spread so that they don't return
/// together: each gets the next free place at the rate at which returns can be
/// taken, up to a longest wait, and is placed at random beyond it.
class ComeBack {
 public:
  static constexpr Duration kLeast = std::chrono::seconds(1);
  static constexpr Duration kGreatest = std::chrono::seconds(60);

  /// @param rate requests per second that may return
  Duration Next(double rate, Time now, std::mt19937_64* random);

 private:
  Time next_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_COME_BACK_H_
