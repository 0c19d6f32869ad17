#include "src/base/log_buffer.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// PIPE_BUF: a write of this size to a pipe that polls as writable doesn't
/// block.
constexpr std::size_t kMaxWriteBytes = 4'096;

}  // namespace

void LogBuffer::Add(std::string_view line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (bytes_.size() + line.size() > kMaxBytes) {
    ++dropped_;
    return;
  }
  bytes_.append(line);
}

void LogBuffer::Flush() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (dropped_ > reported_dropped_ && bytes_.size() < kMaxBytes / 2) {
    bytes_ += fmt::format("event=log_lines_dropped count={}\n",
                          dropped_ - reported_dropped_);
    reported_dropped_ = dropped_;
  }
  std::size_t sent = 0;
  while (sent < bytes_.size()) {
    pollfd ready = {fd_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const ssize_t n = write(fd_, bytes_.data() + sent,
                            std::min(kMaxWriteBytes, bytes_.size() - sent));
    if (n <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(n);
  }
  bytes_.erase(0, sent);
}

std::size_t LogBuffer::Dropped() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

}  // namespace hornbeamcleat
