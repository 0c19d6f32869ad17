#include "src/entry/control_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <random>
#include <string>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "src/net/file_descriptor.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kMinReconnectDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxReconnectDelay = std::chrono::seconds(2);
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kMaxUnsentBytes = 2 * kMaxLinkFrameBytes;

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr) != 1) {
    throw Error("connect", address.ToString(), "expected an IPv4 address");
  }
  return raw;
}

class TcpControlLink : public ControlLink {
 public:
  TcpControlLink(const Address& control, const Clock* clock, Poller* poller,
                 TimerService* timers, ControlLinkHandler* handler)
      : control_(control),
        clock_(clock),
        poller_(poller),
        timers_(timers),
        handler_(handler),
        random_(std::random_device()()) {
    Connect();
  }

  ~TcpControlLink() override { CloseSocket(); }

  bool Connected() const override { return connected_; }
  std::uint64_t Malformed() const override { return malformed_; }

  bool Send(const LinkMessage& message) override {
    if (!connected_) {
      return false;
    }
    unsent_ += EncodeLinkFrame(message);
    if (unsent_.size() > kMaxUnsentBytes) {
      Fail("send buffer limit exceeded; the control daemon is not reading");
      return false;
    }
    Flush();
    return connected_;
  }

 private:
  void Connect() {
    const sockaddr_in address = SocketAddress(control_);
    socket_ = FileDescriptor(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket_.Get() < 0) {
      Fail(std::strerror(errno));
      return;
    }
    const int on = 1;
    setsockopt(socket_.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(socket_.Get(), reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      Fail(std::strerror(errno));
      return;
    }
    poller_->Add(socket_.Get(), EPOLLIN | EPOLLOUT,
                 [this](std::uint32_t events) { OnEvents(events); });
    registered_ = true;
  }

  void OnEvents(std::uint32_t events) {
    if (!connected_ && !FinishConnect()) {
      return;
    }
    if ((events & EPOLLOUT) != 0) {
      Flush();
    }
    if (connected_ && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
      Receive();
    }
  }

  bool FinishConnect() {
    int cause = 0;
    socklen_t n = sizeof(cause);
    getsockopt(socket_.Get(), SOL_SOCKET, SO_ERROR, &cause, &n);
    if (cause != 0) {
      Fail(std::strerror(cause));
      return false;
    }
    connected_ = true;
    log_.Info("Connected to the control daemon. peer={}", control_.ToString());
    handler_->OnLinkUp();
    return connected_;
  }

  void Flush() {
    if (!unsent_.empty()) {
      const ssize_t n =
          send(socket_.Get(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN && errno != EINTR) {
        Fail(std::strerror(errno));
        return;
      }
      unsent_.erase(0, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    }
    poller_->Modify(socket_.Get(),
                    unsent_.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
  }

  void Receive() {
    std::array<char, kReadBytes> chunk;
    const ssize_t n = recv(socket_.Get(), chunk.data(), chunk.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
      Fail(n == 0 ? "the control daemon closed the connection"
                  : std::strerror(errno));
      return;
    }
    if (n > 0) {
      received_.append(chunk.data(), static_cast<std::size_t>(n));
      HandleFrames();
    }
  }

  void HandleFrames() {
    try {
      LinkMessage message;
      while (connected_ && DecodeLinkFrame(&received_, &message)) {
        handler_->OnLinkMessage(message);
      }
    } catch (const Error& e) {
      ++malformed_;
      Fail(e.what());
    }
  }

  void CloseSocket() {
    if (std::exchange(registered_, false)) {
      poller_->Remove(socket_.Get());
    }
    socket_.Reset();
  }

  void Fail(const std::string& cause) {
    const bool was_connected = std::exchange(connected_, false);
    CloseSocket();
    unsent_.clear();
    received_.clear();
    delay_ = was_connected ? kMinReconnectDelay
                           : std::min(delay_ * 2, kMaxReconnectDelay);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const Duration wait = FromSeconds(ToSeconds(delay_) * jitter(random_));
    log_.Debug(
        "Connection to the control daemon failed; will retry. cause=\"{}\"",
        cause);
    retry_ = timers_->At(clock_->Now() + wait, [this](Time) { Connect(); });
    if (was_connected) {
      log_.Warning("Lost the connection to the control daemon. cause=\"{}\"",
                   cause);
      handler_->OnLinkDown();
    }
  }

  Address control_;
  const Clock* clock_;
  Poller* poller_;
  TimerService* timers_;
  ControlLinkHandler* handler_;
  Logger log_{"link"};
  std::mt19937 random_;
  FileDescriptor socket_;
  bool registered_ = false;
  bool connected_ = false;
  std::string unsent_;
  std::string received_;
  Duration delay_ = kMinReconnectDelay;
  std::unique_ptr<TimerService::Subscription> retry_;
  std::uint64_t malformed_ = 0;
};

}  // namespace

std::unique_ptr<ControlLink> ControlLink::Make(const Address& control,
                                               const Clock* clock,
                                               Poller* poller,
                                               TimerService* timers,
                                               ControlLinkHandler* handler) {
  return std::make_unique<TcpControlLink>(control, clock, poller, timers,
                                          handler);
}

}  // namespace hornbeamcleat
