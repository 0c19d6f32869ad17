#ifndef HORNBEAMCLEAT_SRC_MEMBER_BYTE_BUDGET_H_
#define HORNBEAMCLEAT_SRC_MEMBER_BYTE_BUDGET_H_

#include <cstddef>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Token bucket over the bytes that a member sends.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t bytes_per_second);

  /// Bytes that may be sent now.
  std::size_t Available(Time now);

  /// Takes `n` bytes if they are there.
  bool Take(std::size_t n, Time now);

 private:
  double rate_;   // bytes per second
  double burst_;  // bytes
  double level_;
  Time filled_ = Time::min();
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_BYTE_BUDGET_H_
