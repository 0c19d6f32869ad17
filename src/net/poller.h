#ifndef HORNBEAMCLEAT_SRC_NET_POLLER_H_
#define HORNBEAMCLEAT_SRC_NET_POLLER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Set of file descriptors that one thread waits on. Not thread-safe.
class Poller {
 public:
  /// Takes the epoll events that occurred.
  using Callback = std::function<void(std::uint32_t events)>;

  /// @throws Error with step "poll"
  static std::unique_ptr<Poller> Make();

  virtual ~Poller() = default;

  /// Calls `callback` while `fd` has any of `events` (level-triggered).
  /// @throws Error with step "poll"
  virtual void Add(int fd, std::uint32_t events, Callback callback) = 0;

  /// Replaces the events of `fd`, which must have been added.
  virtual void Modify(int fd, std::uint32_t events) = 0;

  /// Unregisters `fd`; must be called before the descriptor is closed.
  virtual void Remove(int fd) = 0;

  /// Waits at most `longest`, then runs the callbacks of ready descriptors.
  virtual void Wait(Duration longest) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_NET_POLLER_H_
