#include "src/standin/weight_store.h"

#include <algorithm>
#include <string>
#include <vector>

namespace hornbeamcleat {
namespace {

constexpr double kBurstSeconds = 0.1;
constexpr double kMaxChunk = 4 * 1024 * 1024;  // bytes

}  // namespace

WeightStore::WeightStore(double bytes_per_second)
    : bucket_(bytes_per_second, bytes_per_second * kBurstSeconds) {}

void WeightStore::Begin(std::uint64_t handle, std::int64_t bytes,
                        CallerFront* front) {
  CallerAnswer head;
  head.content_type = "application/octet-stream";
  front->Begin(handle, head);
  left_[handle] = bytes;
}

void WeightStore::Pump(Time now, CallerFront* front) {
  const double share = static_cast<double>(left_.size());
  std::vector<std::uint64_t> ended;
  for (auto& [handle, bytes] : left_) {
    const double most = std::min(static_cast<double>(bytes), kMaxChunk / share);
    const double n = bucket_.TakeUpTo(most, now);
    if (front->Write(handle, std::string(static_cast<std::size_t>(n), 'w'))) {
      bytes -= static_cast<std::int64_t>(n);
    }
    if (bytes <= 0) {
      ended.push_back(handle);
    }
  }
  for (std::uint64_t handle : ended) {
    front->End(handle);
    left_.erase(handle);
  }
}

}  // namespace hornbeamcleat
