#ifndef HORNBEAMCLEAT_SRC_BASE_POLL_LOOP_H_
#define HORNBEAMCLEAT_SRC_BASE_POLL_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

class Clock;
class TimerService;

/// Loop of one thread over file descriptors, timers and work posted by other
/// threads. All but Post and Quit are called on the loop's own thread.
class PollLoop {
 public:
  using FdCallback = std::function<void(std::uint32_t epoll_events)>;
  using Work = std::function<void()>;

  /// @param clock must outlive the loop
  /// @throws Error with step "make loop"
  static std::unique_ptr<PollLoop> Make(const Clock* clock);

  virtual ~PollLoop() = default;

  /// Calls `callback` when `fd` has one of `epoll_events` (EPOLLIN, ...).
  virtual void Watch(int fd, std::uint32_t epoll_events,
                     FdCallback callback) = 0;

  /// Changes the events that `fd` is watched for.
  virtual void Change(int fd, std::uint32_t epoll_events) = 0;

  /// Stops watching `fd`; call it before closing the descriptor.
  virtual void Forget(int fd) = 0;

  /// Runs `work` on the loop's thread soon. Thread-safe.
  virtual void Post(Work work) = 0;

  /// Runs until Quit.
  virtual void Run() = 0;

  /// Waits up to `longest` for work and does it once.
  virtual void RunOnce(Duration longest) = 0;

  /// Makes Run return. Thread-safe.
  virtual void Quit() = 0;

  /// Timers that the loop drives.
  virtual TimerService* Timers() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_POLL_LOOP_H_
