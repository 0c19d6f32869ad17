#ifndef HORNBEAMCLEAT_SRC_RELAY_ADMIN_ENDPOINTS_H_
#define HORNBEAMCLEAT_SRC_RELAY_ADMIN_ENDPOINTS_H_

#include <functional>
#include <string>
#include <vector>

#include "src/relay/caller_connection.h"
#include "src/relay/listener.h"
#include "src/relay/relay_options.h"

namespace hornbeamcleat {

class Clock;
class HttpCodec;
class Metrics;
class PollLoop;

/// What a VM answers beside callers' requests: whether it is ready, which VMs
/// callers may use, and its metrics, each on an address of its own.
class AdminEndpoints {
 public:
  /// Answers of the VM at the moment.
  struct Sources {
    std::function<bool()> is_ready;
    /// Addresses for callers in a failure domain.
    std::function<std::vector<std::string>(const std::string& domain)>
        caller_addresses;
  };

  /// @param base how connections are limited; their handler is replaced
  AdminEndpoints(PollLoop* loop, const Clock* clock, const HttpCodec* dialect,
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

  const HttpCodec* const dialect_;
  Metrics* const metrics_;
  Duration directory_ttl_;  ///< how long callers keep an answer
  const Sources sources_;
  Listener ready_listener_;
  Listener directory_listener_;
  Listener metrics_listener_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_ADMIN_ENDPOINTS_H_
