#include "src/schedule/retry_pacer.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr double kMinRate = 0.1;

}  // namespace

Duration RetryPacer::NextDelay(double rate, Time now, std::mt19937_64* random) {
  const Duration interval = FromSeconds(1 / std::max(rate, kMinRate));
  next_retry_ = std::max(next_retry_, now + kMinDelay) + interval;
  if (next_retry_ - now <= kMaxDelay) {
    return next_retry_ - now;
  }
  next_retry_ = now + kMaxDelay;
  std::uniform_int_distribution<Duration::rep> delay((kMaxDelay / 2).count(),
                                                     kMaxDelay.count());
  return Duration(delay(*random));
}

}  // namespace hornbeamcleat
