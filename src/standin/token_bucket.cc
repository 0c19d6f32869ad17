#include "src/standin/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {

TokenBucket::TokenBucket(double rate, double burst)
    : rate_(rate), burst_(burst), tokens_(burst) {}

bool TokenBucket::Take(double n, Time now) {
  Refill(now);
  if (tokens_ < n) {
    return false;
  }
  tokens_ -= n;
  return true;
}

double TokenBucket::TakeUpTo(double most, Time now) {
  Refill(now);
  const double n = std::floor(std::min(most, tokens_));
  tokens_ -= n;
  return n;
}

void TokenBucket::Refill(Time now) {
  if (started_ && now > refilled_) {
    tokens_ = std::min(burst_, tokens_ + rate_ * ToSeconds(now - refilled_));
  }
  started_ = true;
  refilled_ = now;
}

}  // namespace hornbeamcleat
