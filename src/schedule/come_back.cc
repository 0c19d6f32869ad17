#include "src/schedule/come_back.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr double kLeastRate = 0.1;

}  // namespace

Duration ComeBack::Next(double rate, Time now, std::mt19937_64* random) {
  const Duration space = FromSeconds(1 / std::max(rate, kLeastRate));
  next_ = std::max(next_, now + kLeast) + space;
  if (next_ - now <= kGreatest) {
    return next_ - now;
  }
  next_ = now + kGreatest;
  std::uniform_int_distribution<Duration::rep> place((kGreatest / 2).count(),
                                                     kGreatest.count());
  return Duration(place(*random));
}

}  // namespace hornbeamcleat
