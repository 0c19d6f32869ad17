#ifndef HORNBEAMCLEAT_SRC_NET_MAILBOX_H_
#define HORNBEAMCLEAT_SRC_NET_MAILBOX_H_

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/error.h"
#include "src/net/file_descriptor.h"

namespace hornbeamcleat {

/// Queue of messages to one thread, which waits on its descriptor. Send is
/// thread-safe; Take belongs to the receiving thread.
template <typename Message>
class Mailbox {
 public:
  /// @throws Error with step "open mailbox"
  Mailbox() : event_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (event_.Get() < 0) {
      throw Error("open mailbox", "", "no event descriptor");
    }
  }

  void Send(Message message) {
    bool first = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      first = messages_.empty();
      messages_.push_back(std::move(message));
    }
    if (first) {
      Signal();
    }
  }

  /// All messages sent so far, oldest first.
  std::vector<Message> Take() {
    std::uint64_t n = 0;
    [[maybe_unused]] const ssize_t size = read(event_.Get(), &n, sizeof(n));
    std::vector<Message> taken;
    const std::lock_guard<std::mutex> lock(mutex_);
    taken.swap(messages_);
    return taken;
  }

  /// File descriptor that is readable while messages wait.
  int PollFd() const { return event_.Get(); }

 private:
  void Signal() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(event_.Get(), &one, sizeof(one));
  }

  FileDescriptor event_;
  std::mutex mutex_;
  std::vector<Message> messages_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_NET_MAILBOX_H_
