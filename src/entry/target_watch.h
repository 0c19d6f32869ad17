#ifndef HORNBEAMCLEAT_SRC_ENTRY_TARGET_WATCH_H_
#define HORNBEAMCLEAT_SRC_ENTRY_TARGET_WATCH_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/timer_service.h"
#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/schedule/event.h"
#include "src/entry/entry_options.h"

namespace hornbeamcleat {

/// Takes what targets report of themselves.
class TargetWatchHandler {
 public:
  virtual ~TargetWatchHandler() = default;

  virtual void OnLoadReport(const LoadReport& report) = 0;
  virtual void OnCacheEvents(const TargetName& target,
                             const std::vector<CacheEvent>& events) = 0;
};

/// Reads load reports and cache events of all targets, each at its period with
/// jitter. A read that has no answer by the next one is given up. Lives in one
/// loop, away from the answers.
class TargetWatch {
 public:
  /// The arguments must outlive the watch.
  static std::unique_ptr<TargetWatch> Make(const EntryOptions& options,
                                           const Clock* clock,
                                           TimerService* timers,
                                           TargetWatchHandler* handler);

  virtual ~TargetWatch() = default;

  /// Watches the targets of `config` and no others.
  virtual void SetTargets(const ConfigState& config) = 0;

  /// File descriptor that becomes readable when Run should be called.
  virtual int PollFd() const = 0;
  /// Time until Run must be called in any case.
  virtual Duration NextRun() const = 0;
  /// Does pending work without blocking.
  virtual void Run() = 0;

  /// Reads that failed or were malformed so far.
  virtual std::uint64_t Failures() const = 0;
};

/// Load report of the JSON text that a target gave.
/// @throws Error with step "parse JSON"
LoadReport ParseLoadReport(const TargetName& target, std::string_view text,
                           Time received);

/// Cache events of the JSON text that a target gave, in its order.
/// @throws Error with step "parse JSON"
std::vector<CacheEvent> ParseCacheEvents(std::string_view text);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TARGET_WATCH_H_
