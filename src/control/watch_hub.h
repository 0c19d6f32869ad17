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

/// Current configuration and its recent changes, for the API threads.
/// Thread-safe.
class WatchHub {
 public:
  WatchHub();

  /// Publishes a new configuration and the changes that led to it.
  void Publish(const std::shared_ptr<const ConfigState>& config,
               const ConfigUpdate& update);

  /// Current configuration; null until it has been loaded.
  std::shared_ptr<const ConfigState> Config() const;

  /// Waits up to `wait` for a change after revision `from`.
  WatchResult Wait(std::uint64_t from, Duration wait);

  /// Wakes all waiters and makes later waits return immediately.
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
