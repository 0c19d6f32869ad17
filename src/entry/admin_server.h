#ifndef HORNBEAMCLEAT_SRC_ENTRY_ADMIN_SERVER_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ADMIN_SERVER_H_

#include <memory>
#include <string>

#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// State of the daemon that the admin server exposes.
class AdminSource {
 public:
  virtual ~AdminSource() = default;

  /// Whether the daemon can serve callers' requests.
  virtual bool Ready() const = 0;
  /// Why a request was routed, queued or refused; empty if `id` is unknown.
  virtual std::string Explain(const RequestId& id) const = 0;
};

/// Serves /healthz, /readyz, /metrics and /explain/{id}. Not thread-safe.
class AdminServer {
 public:
  /// The arguments must outlive the server.
  /// @throws Error with step "listen"
  static std::unique_ptr<AdminServer> Make(const Address& listen,
                                           const Metrics* metrics,
                                           const AdminSource* source);

  virtual ~AdminServer() = default;

  /// Listening address, with the actual port.
  virtual Address Listening() const = 0;
  /// File descriptor that becomes readable when Run should be called.
  virtual int PollFd() const = 0;
  /// Processes pending events without blocking.
  virtual void Run() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ADMIN_SERVER_H_
