#ifndef HORNBEAMCLEAT_SRC_CONTROL_WATCH_HUB_H_
#define HORNBEAMCLEAT_SRC_CONTROL_WATCH_HUB_H_

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/config/config_tail.h"
#include "hornbeamcleat/config/watch_buffer.h"
#include "src/control/api_backend.h"

namespace hornbeamcleat {

/// Configuration in force and its recent changes, for the API's threads.
/// Thread-safe.
class WatchHub {
 public:
  WatchHub();

  /// Takes a new state with the changes that led to it.
  void Publish(const std::shared_ptr<const ConfigState>& config,
               const ConfigUpdate& update);

  /// Configuration in force; null until it is known.
  std::shared_ptr<const ConfigState> Config() const;

  /// Waits up to `wait` for a change after revision `from`.
  WatchResult Wait(std::uint64_t from, Duration wait);

  /// Ends all waits, now and later.
  void Close();

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::shared_ptr<const ConfigState> config_;
  WatchBuffer buffer_;
  bool closed_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_WATCH_HUB_H_
