#ifndef HORNBEAMCLEAT_SRC_CONTROL_API_BACKEND_H_
#define HORNBEAMCLEAT_SRC_CONTROL_API_BACKEND_H_

#include <cstdint>
#include <memory>
#include <string>

#include "hornbeamcleat/config/config_state.h"
#include "src/control/control_core.h"

namespace hornbeamcleat {

/// Part of a watch: what changed since a revision.
struct WatchResult {
  bool compacted = false;  ///< the history does not reach back that far
  std::string events;      ///< JSON array of events
  std::uint64_t next = 0;  ///< revision to go on from

  bool operator==(const WatchResult&) const = default;
};

/// What the operators' API needs of the daemon. Thread-safe; calls may block.
class ApiBackend {
 public:
  virtual ~ApiBackend() = default;

  /// Configuration in force; null until it is known.
  virtual std::shared_ptr<const ConfigState> Config() = 0;

  /// Why a resource would not be accepted now although it is valid, such as a
  /// move that can't finish in time; empty if it would.
  virtual std::string RejectionReason(const Resource& resource) = 0;

  /// Proposes a change and waits for the log's decision.
  virtual ApplyResult Apply(const ConfigRecord& record) = 0;

  /// Waits up to `wait` for a change after revision `from`.
  virtual WatchResult Watch(std::uint64_t from, Duration wait) = 0;

  virtual ControlStatus Status() = 0;

  /// Why the entry beside this daemon treated a request as it did.
  virtual std::string Explain(const std::string& request_id) = 0;

  /// Metrics in Prometheus text format.
  virtual std::string ExposeMetrics() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_API_BACKEND_H_
