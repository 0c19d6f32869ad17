#ifndef HORNBEAMCLEAT_SRC_SERVING_STREAM_PAUSES_H_
#define HORNBEAMCLEAT_SRC_SERVING_STREAM_PAUSES_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Recent longest pauses of a route's streams, each that of one stream, and the
/// pause from which a stream counts as stalled. Pauses depend on what an engine
/// does beside the stream, so that single ones far above the median are usual.
class StreamPauses {
 public:
  void Add(Duration longest);

  /// Returns nullopt until enough streams have been measured.
  std::optional<Duration> StallLimit() const { return stall_limit_; }

 private:
  std::vector<Duration> recent_;
  std::size_t next_ = 0;  ///< index of the oldest one, once `recent_` is full
  std::optional<Duration> stall_limit_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_STREAM_PAUSES_H_
