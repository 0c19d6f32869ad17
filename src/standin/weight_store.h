#ifndef HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_STORE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_STORE_H_

#include <cstdint>
#include <map>

#include "src/net/caller_front.h"
#include "src/standin/token_bucket.h"

namespace hornbeamcleat {

/// Streams weights to downloads that share one rate.
class WeightStore {
 public:
  explicit WeightStore(double bytes_per_second);

  /// Begins a download of `bytes` bytes on exchange `handle`.
  void Begin(std::uint64_t handle, std::int64_t bytes, CallerFront* front);

  /// Forgets the download of `handle`, if there is one.
  void Remove(std::uint64_t handle) { left_.erase(handle); }

  /// Writes what the rate allows, the same share to each download.
  void Pump(Time now, CallerFront* front);

  /// Whether no download is open.
  bool Idle() const { return left_.empty(); }

 private:
  TokenBucket bucket_;
  std::map<std::uint64_t, std::int64_t> left_;  ///< bytes by handle
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_STORE_H_
