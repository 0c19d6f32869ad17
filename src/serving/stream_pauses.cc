#include "src/serving/stream_pauses.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxStreams = 64;
constexpr std::size_t kMinStreams = 5;
/// Multiple of the upper quartile from which a stream counts as stalled.
constexpr int kStallFactor = 3;
/// Shorter pauses may be this process's own.
constexpr Duration kMinStall = std::chrono::milliseconds(100);

}  // namespace

void StreamPauses::Add(Duration longest) {
  if (recent_.size() < kMaxStreams) {
    recent_.push_back(longest);
  } else {
    recent_[next_] = longest;
    next_ = (next_ + 1) % kMaxStreams;
  }
  if (recent_.size() < kMinStreams) {
    return;
  }
  std::vector<Duration> sorted = recent_;
  const auto quartile = sorted.begin() + std::ssize(sorted) * 3 / 4;
  std::nth_element(sorted.begin(), quartile, sorted.end());
  stall_limit_ = std::max(kMinStall, kStallFactor * *quartile);
}

}  // namespace hornbeamcleat
