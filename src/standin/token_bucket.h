#ifndef HORNBEAMCLEAT_SRC_STANDIN_TOKEN_BUCKET_H_
#define HORNBEAMCLEAT_SRC_STANDIN_TOKEN_BUCKET_H_

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Rate limit with a burst. Not thread-safe.
class TokenBucket {
 public:
  /// @param rate  tokens gained a second
  /// @param burst most tokens held; the bucket starts full
  TokenBucket(double rate, double burst);

  /// Takes `n` tokens if they are there.
  bool Take(double n, Time now);

  /// Takes all whole tokens, at most `most`, and returns how many.
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
