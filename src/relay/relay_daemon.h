#ifndef HORNBEAMCLEAT_SRC_RELAY_RELAY_DAEMON_H_
#define HORNBEAMCLEAT_SRC_RELAY_RELAY_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "src/relay/relay_options.h"

namespace hornbeamcleat {

class Clock;
class HttpCodec;
class PollLoop;
class ServingListener;
class ServingSource;
struct ReadPacing;

/// Factory of a deployment's adapters to external systems.
class Deployment {
 public:
  virtual ~Deployment() = default;

  virtual std::unique_ptr<HttpCodec> MakeHttpCodec() const = 0;

  /// Creates a source that watches the store on `loop`, the control thread's
  /// loop.
  virtual std::unique_ptr<ServingSource> MakeSource(
      PollLoop* loop, const Clock* clock, const RelayOptions& options,
      const ReadPacing& pacing, ServingListener* listener) const = 0;
};

/// Daemon process of one VM: a control thread that watches the store and a
/// traffic thread that serves callers.
class RelayDaemon {
 public:
  /// @param settings_path reloaded on SIGHUP and when its content changes
  /// @throws Error if the settings are invalid or an address can't be used
  static std::unique_ptr<RelayDaemon> Make(const std::string& settings_path,
                                           const Deployment* deployment);

  virtual ~RelayDaemon() = default;

  /// Runs until a graceful shutdown is complete. RequestDrain and RequestReload
  /// may be called from other threads meanwhile.
  virtual void Run() = 0;

  /// Starts a graceful shutdown. Async-signal-safe.
  virtual void RequestDrain() = 0;
  /// Reloads the settings. Async-signal-safe.
  virtual void RequestReload() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_RELAY_DAEMON_H_
