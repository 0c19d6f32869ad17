#ifndef HORNBEAMCLEAT_SRC_BASE_POLL_LOOP_H_
#define HORNBEAMCLEAT_SRC_BASE_POLL_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

class Clock;
class TimerService;

/// Single-threaded event loop for file descriptors, timers and work posted by
/// other threads. Only Post and Quit may be called on other threads.
class PollLoop {
 public:
  using FdCallback = std::function<void(std::uint32_t epoll_events)>;
  using Work = std::function<void()>;

  /// @param clock must outlive the loop
  /// @throws Error with step "make loop"
  static std::unique_ptr<PollLoop> Make(const Clock* clock);

  virtual ~PollLoop() = default;

  /// Calls `callback` when one of `epoll_events` (EPOLLIN, ...) occurs on `fd`.
  virtual void Watch(int fd, std::uint32_t epoll_events,
                     FdCallback callback) = 0;

  /// Changes the events for which `fd` is watched.
  virtual void Change(int fd, std::uint32_t epoll_events) = 0;

  /// Stops watching `fd`. Must be called before the descriptor is closed.
  virtual void Unwatch(int fd) = 0;

  /// Queues `work` to run on the loop's thread. Thread-safe.
  virtual void Post(Work work) = 0;

  /// Runs until Quit.
  virtual void Run() = 0;

  /// Runs one iteration, waiting up to `max_wait` for events.
  virtual void RunOnce(Duration max_wait) = 0;

  /// Makes Run return. Thread-safe.
  virtual void Quit() = 0;

  /// Timers driven by the loop.
  virtual TimerService* Timers() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_POLL_LOOP_H_
