#ifndef HORNBEAMCLEAT_SRC_STANDIN_ENGINE_REPORTS_H_
#define HORNBEAMCLEAT_SRC_STANDIN_ENGINE_REPORTS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "src/standin/prefix_cache.h"

namespace hornbeamcleat {

/// Snapshot of an engine's load.
struct EngineLoad {
  std::size_t running = 0;
  std::size_t waiting = 0;
  double kv_used_ratio = 0;
  bool leaving = false;
  std::string version;

  bool operator==(const EngineLoad&) const = default;
};

/// Simulates stale load reports and delayed, lossy cache events.
class EngineReports {
 public:
  /// @param load_lag  maximum age of a load report
  /// @param event_lag delay of cache events
  /// @param drop_every every n-th cache event is dropped; 0: none
  EngineReports(Duration load_lag, Duration event_lag, std::int64_t drop_every);

  /// Replaces the reported load if it is at least `load_lag` old.
  void TakeLoad(const EngineLoad& load, Time now);

  /// Queues cache events for delivery after `event_lag`.
  void TakeEvents(const std::vector<CacheEvent>& events, Time now);

  /// Body of GET /load.
  std::string FormatLoad(Time now) const;

  /// Body of GET /cache-events?from=N.
  std::string FormatEvents(std::uint64_t from, Time now) const;

 private:
  struct DatedEvent {
    CacheEvent event;
    Time visible;
  };

  Duration load_lag_;
  Duration event_lag_;
  std::int64_t drop_every_;
  EngineLoad load_;
  Time load_time_;
  bool has_load_ = false;
  std::deque<DatedEvent> events_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_REPORTS_H_
