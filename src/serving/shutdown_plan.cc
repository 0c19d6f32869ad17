#include "src/serving/shutdown_plan.h"

#include <algorithm>
#include <cstddef>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

/// Requests are served for this time, since callers have cached the VM's
/// address, or for a fraction (1/N) of the time to the exit if that is shorter.
constexpr Duration kMaxServeTime = milliseconds(2'500);
constexpr int kServeDivisor = 3;
constexpr Duration kMaxMinExitTime = milliseconds(3'500);
/// Time reserved for the exit before the process is killed, or a fraction (1/N)
/// of a short grace.
constexpr Duration kExitMargin = milliseconds(300);
constexpr int kExitMarginDivisor = 4;
/// Time for the last answers to leave before the exit.
constexpr Duration kFlushTime = milliseconds(200);
constexpr int kFlushDivisor = 8;

/// Decay of the longest duration with each answer, in percent.
constexpr int kDecayPercent = 98;
/// Requests may take longer than others before them by this factor, in percent.
constexpr int kReservePercent = 125;
constexpr std::size_t kMaxRoutes = 4'096;

}  // namespace

ShutdownTimes ShutdownTimes::ForGrace(Duration grace) {
  ShutdownTimes times;
  times.exit = grace - std::min(kExitMargin, grace / kExitMarginDivisor);
  times.answer = times.exit - std::min(kFlushTime, times.exit / kFlushDivisor);
  times.serve = std::min(kMaxServeTime, times.exit / kServeDivisor);
  times.min_exit = std::min(kMaxMinExitTime, times.answer);
  return times;
}

void RequestDurations::OnAnswered(const std::string& route, Duration duration) {
  if (longest_.size() >= kMaxRoutes && !longest_.contains(route)) {
    longest_.clear();
  }
  Duration& longest = longest_[route];
  longest = std::max(duration, longest * kDecayPercent / 100);
}

bool RequestDurations::FitsInto(const std::string& route, Duration left) const {
  const auto it = longest_.find(route);
  return left > Duration(0) &&
         (it == longest_.end() || it->second * kReservePercent / 100 <= left);
}

}  // namespace hornbeamcleat
