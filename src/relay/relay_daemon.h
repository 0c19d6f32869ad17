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

/// Outside systems of a deployment, made by its adapter.
class Deployment {
 public:
  virtual ~Deployment() = default;

  virtual std::unique_ptr<HttpCodec> MakeHttpCodec() const = 0;

  /// Follows the store on `loop`, the control thread's.
  virtual std::unique_ptr<ServingSource> MakeSource(
      PollLoop* loop, const Clock* clock, const RelayOptions& options,
      const ReadPacing& pacing, ServingListener* listener) const = 0;
};

/// Process of one VM: a control thread that follows the store and a traffic
/// thread that serves callers.
class RelayDaemon {
 public:
  /// @param settings_path read again on SIGHUP and when its content changes
  /// @throws Error if the settings are wrong or an address can't be used
  static std::unique_ptr<RelayDaemon> Make(const std::string& settings_path,
                                           const Deployment* deployment);

  virtual ~RelayDaemon() = default;

  /// Runs until a planned stop is over. Thread-safe signals: Drain, Reload.
  virtual void Run() = 0;

  /// Begins a planned stop; may be called by a signal handler.
  virtual void RequestDrain() = 0;
  /// Reads the settings again; may be called by a signal handler.
  virtual void RequestReload() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_RELAY_DAEMON_H_
