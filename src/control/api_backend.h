#ifndef HORNBEAMCLEAT_SRC_CONTROL_API_BACKEND_H_
#define HORNBEAMCLEAT_SRC_CONTROL_API_BACKEND_H_

#include <cstdint>
#include <memory>
#include <string>

#include "hornbeamcleat/config/config_state.h"
#include "src/control/control_core.h"

namespace hornbeamcleat {

/// One batch of watch events after a revision.
struct WatchResult {
  bool compacted = false;  ///< the requested revision is no longer buffered
  std::string events;      ///< JSON array of events
  std::uint64_t next = 0;  ///< revision to continue the watch from

  bool operator==(const WatchResult&) const = default;
};

/// Operations that the operators' API calls on the daemon. Thread-safe; calls
/// may block.
class ApiBackend {
 public:
  virtual ~ApiBackend() = default;

  /// Current configuration; null until it has been loaded.
  virtual std::shared_ptr<const ConfigState> Config() = 0;

  /// Reason to reject a valid resource at this time, such as a move that cannot
  /// finish before its deadline; empty if the resource is acceptable.
  virtual std::string RejectionReason(const Resource& resource) = 0;

  /// Proposes a change and waits until the log has decided it.
  virtual ApplyResult Apply(const ConfigRecord& record) = 0;

  /// Waits up to `wait` for a change after revision `from`.
  virtual WatchResult Watch(std::uint64_t from, Duration wait) = 0;

  virtual ControlStatus Status() = 0;

  /// Explains how the entry of this VM handled a request.
  virtual std::string Explain(const std::string& request_id) = 0;

  /// Metrics in Prometheus text format.
  virtual std::string ExposeMetrics() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_API_BACKEND_H_
