#include "src/relay/byte_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/base/poll_loop.h"
#include "src/base/socket_address.h"
#include "src/base/socket_state.h"

namespace hornbeamcleat {
namespace {

/// Size of one read, which bounds the data taken from a connection before
/// reading can pause.
constexpr std::size_t kReadBufferBytes = 16'384;
/// Capacity that a drained output buffer keeps, and sent bytes from which it is
/// compacted.
constexpr std::size_t kKeptOutputBytes = 16'384;
/// Unanswered keep-alive probes after which a connection is broken.
constexpr int kKeepAliveProbes = 3;

void SetOption(int fd, int level, int option, int value) {
  // Errors are ignored: without the option, the socket only detects a lost
  // peer later.
  setsockopt(fd, level, option, &value, sizeof(value));
}

void SetSocketOptions(int fd, Duration user_timeout) {
  const int ms = static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout)
          .count());
  const int seconds = std::max(1, ms / 1'000 / kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, ms);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

class TcpStream : public ByteStream {
 public:
  TcpStream(PollLoop* loop, FileDescriptor fd, Address peer, bool is_connecting)
      : loop_(loop),
        fd_(std::move(fd)),
        peer_(std::move(peer)),
        is_connecting_(is_connecting) {
    watched_events_ = WantedEvents();
    loop_->Watch(fd_.Get(), watched_events_,
                 [this](std::uint32_t events) { OnEvents(events); });
  }

  ~TcpStream() override {
    *alive_ = false;
    Close();
  }

  void SetCallbacks(Callbacks callbacks) override {
    callbacks_ = std::move(callbacks);
  }

  void Write(std::string_view bytes) override {
    if (is_closed_ || bytes.empty()) {
      return;
    }
    output_.append(bytes);
    SendQueued();
  }

  void WriteOwned(std::string bytes) override {
    if (is_closed_ || bytes.empty()) {
      return;
    }
    if (output_.empty()) {
      output_ = std::move(bytes);
    } else {
      output_.append(bytes);
    }
    SendQueued();
  }

  std::size_t Unsent() const override {
    return output_.size() - output_offset_;
  }
  std::size_t Undelivered() const override {
    return Unsent() + (is_closed_ ? 0 : UnacknowledgedBytes(fd_.Get()));
  }
  std::size_t HeldBytes() const override { return output_.size(); }
  bool AnySent() const override { return any_sent_; }

  void SetReading(bool is_reading) override {
    is_reading_ = is_reading;
    UpdateEvents();
  }

  void ResetOnEarlyClose() override {
    if (!is_closed_) {
      resets_on_close_ = true;
      SetLinger(true);
    }
  }

  void FinishWriting() override {
    finish_requested_ = true;
    if (!is_closed_ && !is_connecting_ && Unsent() == 0) {
      ShutDownWriting();
    }
  }

  void Abort() override {
    if (is_closed_) {
      return;
    }
    SetLinger(true);
    Close();
  }

  Address Peer() const override { return peer_; }

 private:
  // Whether closing resets the connection and drops what the socket holds.
  void SetLinger(bool resets) {
    const linger value = {resets ? 1 : 0, 0};
    setsockopt(fd_.Get(), SOL_SOCKET, SO_LINGER, &value, sizeof(value));
  }

  void SendQueued() {
    if (!is_connecting_) {
      Flush();
      UpdateEvents();
    }
  }

  void ShutDownWriting() {
    if (std::exchange(resets_on_close_, false)) {
      SetLinger(false);
    }
    shutdown(fd_.Get(), SHUT_WR);
  }

  std::uint32_t WantedEvents() const {
    std::uint32_t events = 0;
    if (!saw_end_ && ReportsCloseWhilePaused()) {
      events |= EPOLLRDHUP;
    }
    if (is_reading_ && !saw_end_) {
      events |= EPOLLIN;
    }
    if (is_connecting_ || Unsent() > 0) {
      events |= EPOLLOUT;
    }
    return events;
  }

  bool ReportsCloseWhilePaused() const {
    return !is_reading_ && callbacks_.on_close_while_paused;
  }

  void UpdateEvents() {
    const std::uint32_t wanted = WantedEvents();
    if (!is_closed_ && wanted != watched_events_) {
      watched_events_ = wanted;
      loop_->Change(fd_.Get(), watched_events_);
    }
  }

  void Close() {
    if (!is_closed_) {
      is_closed_ = true;
      loop_->Unwatch(fd_.Get());
      fd_.Reset();
    }
  }

  void OnEvents(std::uint32_t events) {
    const std::shared_ptr<bool> alive = alive_;
    if (is_connecting_) {
      OnConnect();
      return;
    }
    if ((events & EPOLLOUT) != 0 && Unsent() > 0) {
      Flush();
      if (is_broken_) {
        End(StreamEnd::kBroken);
        return;
      }
      // Callbacks are copied before the call, since they may replace
      // themselves.
      const std::function<void()> on_flushed = callbacks_.on_flushed;
      if (Unsent() == 0 && on_flushed) {
        on_flushed();
        if (!*alive || is_closed_) {
          return;
        }
      }
    }
    if ((events & EPOLLERR) != 0 && !is_reading_) {
      End(StreamEnd::kBroken);
      return;
    }
    if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0 && is_reading_) {
      Read();
    } else if ((events & EPOLLHUP) != 0 && !saw_end_) {
      End(StreamEnd::kBroken);
    } else if ((events & EPOLLRDHUP) != 0 && !saw_end_ &&
               ReportsCloseWhilePaused()) {
      saw_end_ = true;
      const std::function<void()> on_close = callbacks_.on_close_while_paused;
      on_close();
    }
    if (*alive) {
      UpdateEvents();
    }
  }

  void OnConnect() {
    if (TakeSocketError(fd_.Get()) != 0) {
      End(StreamEnd::kBroken);
      return;
    }
    is_connecting_ = false;
    const std::shared_ptr<bool> alive = alive_;
    const std::function<void()> on_connected = callbacks_.on_connected;
    if (on_connected) {
      on_connected();
    }
    if (*alive && !is_closed_) {
      Flush();
      UpdateEvents();
    }
  }

  void Read() {
    char buf[kReadBufferBytes];
    const ssize_t n = recv(fd_.Get(), buf, sizeof(buf), 0);
    if (n > 0) {
      const std::function<void(std::string_view)> on_bytes =
          callbacks_.on_bytes;
      if (on_bytes) {
        on_bytes({buf, static_cast<std::size_t>(n)});
      }
      return;
    }
    if (n == 0) {
      End(HasFailed() ? StreamEnd::kBroken : StreamEnd::kClean);
    } else if (errno != EAGAIN && errno != EINTR) {
      End(StreamEnd::kBroken);
    }
  }

  // Whether the connection was reset, timed out or became unreachable. After
  // the peer's end, reading doesn't report this: it goes on reporting the end.
  bool HasFailed() const {
    return is_broken_ || TakeSocketError(fd_.Get()) != 0;
  }

  void End(StreamEnd end) {
    saw_end_ = true;
    if (end == StreamEnd::kBroken) {
      Close();
    }
    const std::function<void(StreamEnd)> on_end = callbacks_.on_end;
    if (on_end) {
      on_end(end);
    }
  }

  // A send error is reported again as an epoll event, which ends the stream.
  void Flush() {
    while (Unsent() > 0) {
      const ssize_t n = send(fd_.Get(), output_.data() + output_offset_,
                             Unsent(), MSG_NOSIGNAL);
      if (n < 0) {
        is_broken_ = errno != EAGAIN && errno != EINTR;
        break;
      }
      any_sent_ = true;
      output_offset_ += static_cast<std::size_t>(n);
    }
    DropSent();
    if (Unsent() == 0) {
      if (finish_requested_) {
        ShutDownWriting();
      }
    }
  }

  // A peer that is always a little behind leaves bytes unsent at each flush, so
  // sent ones are dropped before all are. Waiting until they outweigh the
  // unsent ones bounds the cost of moving these.
  void DropSent() {
    if (Unsent() == 0) {
      output_offset_ = 0;
      if (output_.capacity() > kKeptOutputBytes) {
        std::string().swap(output_);
      } else {
        output_.clear();
      }
    } else if (output_offset_ >= std::max(kKeptOutputBytes, Unsent())) {
      output_.erase(0, output_offset_);
      output_offset_ = 0;
    }
  }

  PollLoop* const loop_;
  FileDescriptor fd_;
  const Address peer_;
  Callbacks callbacks_;
  std::string output_;
  std::size_t output_offset_ = 0;
  std::uint32_t watched_events_ = 0;
  bool is_connecting_;
  bool is_reading_ = true;
  bool is_closed_ = false;
  bool is_broken_ = false;
  bool saw_end_ = false;
  bool finish_requested_ = false;
  bool resets_on_close_ = false;
  bool any_sent_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

std::unique_ptr<ByteStream> ByteStream::Accepted(PollLoop* loop,
                                                 FileDescriptor fd,
                                                 Duration user_timeout) {
  SetSocketOptions(fd.Get(), user_timeout);
  sockaddr_in from{};
  socklen_t size = sizeof(from);
  getpeername(fd.Get(), reinterpret_cast<sockaddr*>(&from), &size);
  return std::make_unique<TcpStream>(loop, std::move(fd),
                                     FromSocketAddress(from), false);
}

std::unique_ptr<ByteStream> ByteStream::Connect(PollLoop* loop,
                                                const Address& address,
                                                Duration user_timeout) {
  FileDescriptor fd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.Get() < 0) {
    throw Error("connect", address.ToString(), strerror(errno));
  }
  SetSocketOptions(fd.Get(), user_timeout);
  const sockaddr_in to = ToSocketAddress(address);
  if (connect(fd.Get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
          0 &&
      errno != EINPROGRESS) {
    throw Error("connect", address.ToString(), strerror(errno));
  }
  return std::make_unique<TcpStream>(loop, std::move(fd), address, true);
}

}  // namespace hornbeamcleat
