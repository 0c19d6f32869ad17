#ifndef HORNBEAMCLEAT_SRC_STANDIN_TOKEN_BUCKET_H_
#define HORNBEAMCLEAT_SRC_STANDIN_TOKEN_BUCKET_H_

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Token bucket rate limiter. Not thread-safe.
class TokenBucket {
 public:
  /// @param rate  tokens added per second
  /// @param burst capacity in tokens; the bucket starts full
  TokenBucket(double rate, double burst);

  /// Takes `n` tokens if that many are available.
  bool Take(double n, Time now);

  /// Takes the available whole tokens, up to `most`, and returns their number.
  double TakeUpTo(double most, Time now);

 private:
  void Refill(Time now);

  double rate_;
  double burst_;
  double tokens_;
  Time refilled_;
  bool started_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_TOKEN_BUCKET_H_
