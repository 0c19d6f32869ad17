#ifndef HORNBEAMCLEAT_SRC_STANDIN_ENGINE_STATS_H_
#define HORNBEAMCLEAT_SRC_STANDIN_ENGINE_STATS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "src/standin/engine_streams.h"

namespace hornbeamcleat {

/// Requests and tokens of an engine, grouped by the final stream state.
class EngineStats {
 public:
  /// Counts a request with `id`.
  void CountRequest(const std::string& id);

  /// Count a request refused as not run, and one that failed before it ran.
  void CountRefused() { ++refused_; }
  void CountFailedEarly() { ++failed_early_; }

  /// Counts a stream that ended in `state` and its prefilled and generated
  /// tokens.
  void CountEnd(StreamState state, std::int64_t prefilled,
                std::int64_t generated);

  /// Body of GET /stats.
  /// @param running number of open streams
  std::string Format(std::size_t running) const;

 private:
  struct Ended {
    std::int64_t requests = 0;
    std::int64_t prefill_tokens = 0;
    std::int64_t generated_tokens = 0;
  };

  std::map<std::string, int> runs_;  ///< by request id
  std::int64_t requests_ = 0;
  std::int64_t repeated_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t failed_early_ = 0;
  std::array<Ended, 4> ended_;  ///< by StreamState
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_STATS_H_
