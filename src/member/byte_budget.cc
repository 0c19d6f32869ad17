#include "src/member/byte_budget.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr double kBurstSeconds = 0.5;

}  // namespace

ByteBudget::ByteBudget(std::size_t bytes_per_second)
    : rate_(static_cast<double>(bytes_per_second)),
      burst_(rate_ * kBurstSeconds),
      level_(burst_) {}

std::size_t ByteBudget::Available(Time now) {
  if (filled_ != Time::min() && now > filled_) {
    level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - filled_));
  }
  filled_ = std::max(filled_, now);
  return static_cast<std::size_t>(level_);
}

bool ByteBudget::Take(std::size_t n, Time now) {
  if (Available(now) < n) {
    return false;
  }
  level_ -= static_cast<double>(n);
  return true;
}

}  // namespace hornbeamcleat
