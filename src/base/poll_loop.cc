#include "src/base/poll_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/timer_service.h"

namespace hornbeamcleat {
namespace {

constexpr int kMaxEvents = 64;
constexpr Duration kMaxWait = std::chrono::seconds(1);

[[noreturn]] void ThrowErrno(const char* what) {
  throw Error("make loop", "", std::string(what) + ": " + strerror(errno));
}

class EpollLoop : public PollLoop {
 public:
  explicit EpollLoop(const Clock* clock) : clock_(clock) {
    epoll_fd_ = epoll_create1(EPOLL_CLOEXEC);
    wake_fd_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (epoll_fd_ < 0 || wake_fd_ < 0) {
      ThrowErrno("cannot create descriptor");
    }
    Watch(wake_fd_, EPOLLIN, [this](std::uint32_t) { RunPosted(); });
  }

  ~EpollLoop() override {
    close(wake_fd_);
    close(epoll_fd_);
  }

  void Watch(int fd, std::uint32_t epoll_events, FdCallback callback) override {
    callbacks_[fd] = std::make_shared<FdCallback>(std::move(callback));
    Control(EPOLL_CTL_ADD, fd, epoll_events);
  }

  void Change(int fd, std::uint32_t epoll_events) override {
    Control(EPOLL_CTL_MOD, fd, epoll_events);
  }

  void Unwatch(int fd) override {
    if (callbacks_.erase(fd) > 0) {
      epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
    }
  }

  void Post(Work work) override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      posted_.push_back(std::move(work));
    }
    Wake();
  }

  void Run() override {
    while (!quit_) {
      RunOnce(kMaxWait);
    }
  }

  void RunOnce(Duration max_wait) override {
    epoll_event events[kMaxEvents];
    const int n =
        epoll_wait(epoll_fd_, events, kMaxEvents, TimeoutMs(max_wait));
    for (int i = 0; i < n; ++i) {
      const std::map<int, std::shared_ptr<FdCallback>>::iterator it =
          callbacks_.find(events[i].data.fd);
      if (it == callbacks_.end()) {
        continue;
      }
      // Keeps the callback alive while it runs, because it may unregister its
      // own descriptor.
      const std::shared_ptr<FdCallback> callback = it->second;
      (*callback)(events[i].events);
    }
    timers_->RunDue(clock_->Now());
  }

  void Quit() override {
    quit_ = true;
    Wake();
  }

  TimerService* Timers() override { return timers_.get(); }

 private:
  void Control(int operation, int fd, std::uint32_t epoll_events) {
    epoll_event event{};
    event.events = epoll_events;
    event.data.fd = fd;
    if (epoll_ctl(epoll_fd_, operation, fd, &event) != 0) {
      ThrowErrno("epoll_ctl");
    }
  }

  void Wake() const {
    const std::uint64_t one = 1;
    // A failed write means that the counter is full, which also wakes the loop.
    [[maybe_unused]] const ssize_t n = write(wake_fd_, &one, sizeof(one));
  }

  void RunPosted() {
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t n = read(wake_fd_, &count, sizeof(count));
    std::vector<Work> work;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      work.swap(posted_);
    }
    for (const Work& item : work) {
      item();
    }
  }

  // Rounds up, so that the timer is due when the wait ends.
  int TimeoutMs(Duration max_wait) const {
    Duration wait = max_wait;
    if (const std::optional<Time> next = timers_->NextDue()) {
      wait = std::clamp(*next - clock_->Now(), Duration(0), max_wait);
    }
    return static_cast<int>(
        std::chrono::ceil<std::chrono::milliseconds>(wait).count());
  }

  const Clock* clock_;
  int epoll_fd_ = -1;
  int wake_fd_ = -1;
  std::map<int, std::shared_ptr<FdCallback>> callbacks_;
  std::unique_ptr<TimerService> timers_ = TimerService::Make();
  std::mutex mutex_;
  std::vector<Work> posted_;
  std::atomic<bool> quit_{false};
};

}  // namespace

std::unique_ptr<PollLoop> PollLoop::Make(const Clock* clock) {
  return std::make_unique<EpollLoop>(clock);
}

}  // namespace hornbeamcleat
