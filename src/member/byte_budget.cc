#include "src/member/byte_budget.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr double kBurstSeconds = 0.5;

}  // namespace

ByteBudget::ByteBudget(std::size_t bytes_per_second)
    : bytes_per_second_(static_cast<double>(bytes_per_second)),
      burst_bytes_(bytes_per_second_ * kBurstSeconds),
      available_bytes_(burst_bytes_) {}

std::size_t ByteBudget::Available(Time now) {
  if (last_refill_ != Time::min() && now > last_refill_) {
    available_bytes_ = std::min(
        burst_bytes_,
        available_bytes_ + bytes_per_second_ * ToSeconds(now - last_refill_));
  }
  last_refill_ = std::max(last_refill_, now);
  return static_cast<std::size_t>(available_bytes_);
}

bool ByteBudget::TryConsume(std::size_t n, Time now) {
  if (Available(now) < n) {
    return false;
  }
  available_bytes_ -= static_cast<double>(n);
  return true;
}

}  // namespace hornbeamcleat
