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

/// Receives the load reports and cache events of targets.
class TargetWatchHandler {
 public:
  virtual ~TargetWatchHandler() = default;

  virtual void OnLoadReport(const LoadReport& report) = 0;
  virtual void OnCacheEvents(const TargetName& target,
                             const std::vector<CacheEvent>& events) = 0;
};

/// Polls the load reports and cache events of all targets, each with its own
/// period and jitter. A read that is still open when the next one is due is
/// aborted. Not thread-safe; runs on the control thread so that it does not
/// delay answers.
class TargetWatch {
 public:
  /// The pointers must outlive the watch.
  static std::unique_ptr<TargetWatch> Make(const EntryOptions& options,
                                           const Clock* clock,
                                           TimerService* timers,
                                           TargetWatchHandler* handler);

  virtual ~TargetWatch() = default;

  /// Replaces the set of polled targets by those of `config`.
  virtual void SetTargets(const ConfigState& config) = 0;

  /// File descriptor that becomes readable when Run should be called.
  virtual int PollFd() const = 0;
  /// Time until Run must be called even if PollFd is not readable.
  virtual Duration NextRun() const = 0;
  /// Processes pending events without blocking.
  virtual void Run() = 0;

  /// Number of reads that failed or had a malformed answer.
  virtual std::uint64_t Failures() const = 0;
};

/// Parses a target's load report from JSON.
/// @throws Error with step "parse JSON"
LoadReport ParseLoadReport(const TargetName& target, std::string_view text,
                           Time received);

/// Parses a target's cache events from JSON, in their order.
/// @throws Error with step "parse JSON"
std::vector<CacheEvent> ParseCacheEvents(std::string_view text);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TARGET_WATCH_H_
