#ifndef HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_STORE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_STORE_H_

#include <cstdint>
#include <map>

#include "src/net/caller_front.h"
#include "src/standin/token_bucket.h"

namespace hornbeamcleat {

/// Sends weights to concurrent downloads that share one bandwidth limit.
class WeightStore {
 public:
  explicit WeightStore(double bytes_per_second);

  /// Starts a download of `bytes` bytes on exchange `handle`.
  void Begin(std::uint64_t handle, std::int64_t bytes, CallerFront* front);

  /// Removes the download on exchange `handle`, if any.
  void Remove(std::uint64_t handle) { left_.erase(handle); }

  /// Writes as much as the rate limit allows, in equal shares per download.
  void Pump(Time now, CallerFront* front);

  /// Whether no download is open.
  bool Idle() const { return left_.empty(); }

 private:
  TokenBucket bucket_;
  std::map<std::uint64_t, std::int64_t> left_;  ///< bytes by handle
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_STORE_H_
