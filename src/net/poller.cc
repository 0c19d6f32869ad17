#include "src/net/poller.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <unordered_map>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/net/file_descriptor.h"

namespace hornbeamcleat {
namespace {

constexpr int kEventsPerWait = 64;

class EpollPoller : public Poller {
 public:
  EpollPoller() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_.Get() < 0) {
      Fail();
    }
  }

  void Add(int fd, std::uint32_t events, Callback callback) override {
    callbacks_[fd] = std::make_shared<Callback>(std::move(callback));
    Control(EPOLL_CTL_ADD, fd, events);
  }

  void Modify(int fd, std::uint32_t events) override {
    Control(EPOLL_CTL_MOD, fd, events);
  }

  void Remove(int fd) override {
    callbacks_.erase(fd);
    epoll_ctl(epoll_.Get(), EPOLL_CTL_DEL, fd, nullptr);
  }

  void Wait(Duration longest) override {
    std::array<epoll_event, kEventsPerWait> events;
    // Rounds up, so that waiting for a timer due in less than a millisecond
    // doesn't spin.
    const std::chrono::milliseconds ms =
        std::chrono::ceil<std::chrono::milliseconds>(
            std::max(longest, Duration(0)));
    const int n = epoll_wait(epoll_.Get(), events.data(), kEventsPerWait,
                             static_cast<int>(ms.count()));
    if (n < 0 && errno != EINTR) {
      Fail();
    }
    for (int i = 0; i < n; ++i) {
      Call(events[i].data.fd, events[i].events);
    }
  }

 private:
  // Keeps the callback alive while it runs: it may remove its own descriptor.
  void Call(int fd, std::uint32_t events) {
    const std::unordered_map<int, std::shared_ptr<Callback>>::const_iterator
        it = callbacks_.find(fd);
    if (it != callbacks_.end()) {
      const std::shared_ptr<Callback> callback = it->second;
      (*callback)(events);
    }
  }

  void Control(int operation, int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    if (epoll_ctl(epoll_.Get(), operation, fd, &event) != 0) {
      Fail();
    }
  }

  [[noreturn]] static void Fail() {
    throw Error("poll", "", std::strerror(errno));
  }

  FileDescriptor epoll_;
  std::unordered_map<int, std::shared_ptr<Callback>> callbacks_;
};

}  // namespace

std::unique_ptr<Poller> Poller::Make() {
  return std::make_unique<EpollPoller>();
}

}  // namespace hornbeamcleat
