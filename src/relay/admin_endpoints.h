#ifndef HORNBEAMCLEAT_SRC_RELAY_ADMIN_ENDPOINTS_H_
#define HORNBEAMCLEAT_SRC_RELAY_ADMIN_ENDPOINTS_H_

#include <functional>
#include <string>
#include <vector>

#include "src/relay/caller_connection.h"
#include "src/relay/listener.h"
#include "src/relay/relay_options.h"
#include "src/serving/vm_directory.h"

namespace hornbeamcleat {

class Clock;
class HttpCodec;
class Metrics;
class PollLoop;

/// Endpoints of a VM besides the request path: readiness, the directory of VMs
/// that callers may use, and metrics. Each has its own listening address.
class AdminEndpoints {
 public:
  /// Current state of the VM.
  struct Sources {
    std::function<bool()> is_ready;
    /// Addresses of VMs for a caller.
    std::function<std::vector<std::string>(const CallerPlace& place)>
        caller_addresses;
  };

  /// @param base connection limits and hooks; `handle` is replaced
  AdminEndpoints(PollLoop* loop, const Clock* clock, const HttpCodec* codec,
                 Metrics* metrics, const RelayOptions& options,
                 const CallerConnection::Delegate& base, Sources sources);

  void SetDirectoryTtl(Duration keep) { directory_ttl_ = keep; }

 private:
  CallerConnection::Delegate ReadyDelegate(CallerConnection::Delegate delegate);
  CallerConnection::Delegate DirectoryDelegate(
      CallerConnection::Delegate delegate);
  CallerConnection::Delegate MetricsDelegate(
      CallerConnection::Delegate delegate);
  void ServeDirectory(const CallerRequest& request, ResponseSink* sink);

  const HttpCodec* const codec_;
  Metrics* const metrics_;
  Duration directory_ttl_;  ///< how long callers may cache an answer
  const Sources sources_;
  Listener ready_listener_;
  Listener directory_listener_;
  Listener metrics_listener_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_ADMIN_ENDPOINTS_H_
