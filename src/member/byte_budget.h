#ifndef HORNBEAMCLEAT_SRC_MEMBER_BYTE_BUDGET_H_
#define HORNBEAMCLEAT_SRC_MEMBER_BYTE_BUDGET_H_

#include <cstddef>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Token bucket that limits the bytes sent by a member.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t bytes_per_second);

  /// Bytes that may be sent now.
  std::size_t Available(Time now);

  /// Consumes `n` bytes if they are available.
  bool TryConsume(std::size_t n, Time now);

 private:
  double bytes_per_second_;
  double burst_bytes_;
  double available_bytes_;
  Time last_refill_ = Time::min();
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_BYTE_BUDGET_H_
