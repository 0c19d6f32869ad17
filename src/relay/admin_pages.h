#ifndef HORNBEAMCLEAT_SRC_RELAY_ADMIN_PAGES_H_
#define HORNBEAMCLEAT_SRC_RELAY_ADMIN_PAGES_H_

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
class AdminPages {
 public:
  /// Answers of the VM at the moment.
  struct Sources {
    std::function<bool()> is_ready;
    /// Addresses for callers in a failure domain.
    std::function<std::vector<std::string>(const std::string& domain)> fronts;
  };

  /// @param base how connections are limited; their handler is replaced
  AdminPages(PollLoop* loop, const Clock* clock, const HttpCodec* dialect,
             Metrics* metrics, const RelayOptions& options,
             const CallerConnection::Delegate& base, Sources sources);

  void SetDirectoryKeep(Duration keep) { directory_keep_ = keep; }

 private:
  CallerConnection::Delegate ReadyOwner(CallerConnection::Delegate owner);
  CallerConnection::Delegate DirectoryOwner(CallerConnection::Delegate owner);
  CallerConnection::Delegate MetricsOwner(CallerConnection::Delegate owner);
  void AnswerDirectory(const CallerRequest& request, ResponseSink* sink);

  const HttpCodec* const dialect_;
  Metrics* const metrics_;
  Duration directory_keep_;  ///< how long callers keep an answer
  const Sources sources_;
  Listener ready_;
  Listener directory_;
  Listener metrics_page_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_ADMIN_PAGES_H_
