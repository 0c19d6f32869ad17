#include "src/control/link_server.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "src/base/poll_loop.h"
#include "src/base/socket_address.h"

namespace hornbeamcleat {
namespace {

constexpr int kBacklog = 4;
constexpr std::size_t kReceiveBufferBytes = 64 * 1024;

class TcpLinkServer : public LinkServer {
 public:
  TcpLinkServer(const Address& listen, PollLoop* loop, LinkHandler* handler)
      : loop_(loop), handler_(handler) {
    Listen(listen);
    loop_->Watch(listen_fd_, EPOLLIN, [this](std::uint32_t) { Accept(); });
  }

  ~TcpLinkServer() override {
    Close();
    loop_->Unwatch(listen_fd_);
    close(listen_fd_);
  }

  Address ListenAddress() const override { return BoundAddress(listen_fd_); }

  void Send(const LinkMessage& message) override {
    if (fd_ < 0) {
      return;
    }
    send_buffer_ += EncodeLinkFrame(message);
    if (send_buffer_.size() > 2 * kMaxLinkFrameBytes) {
      log_.Warning("Send buffer of the entry link is full. bytes={}",
                   send_buffer_.size());
      Disconnect();
      return;
    }
    Flush();
  }

 private:
  void Listen(const Address& address) {
    const sockaddr_in socket_address = ToSocketAddress(address);
    listen_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (listen_fd_ < 0 ||
        bind(listen_fd_, reinterpret_cast<const sockaddr*>(&socket_address),
             sizeof(socket_address)) != 0 ||
        listen(listen_fd_, kBacklog) != 0) {
      const std::string cause = strerror(errno);
      close(listen_fd_);
      throw Error("listen for the entry", address.ToString(), cause);
    }
  }

  void Accept() {
    const int fd =
        accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    if (fd_ >= 0) {
      Disconnect();
    }
    fd_ = fd;
    loop_->Watch(fd_, EPOLLIN,
                 [this](std::uint32_t events) { OnSocketEvents(events); });
    handler_->OnLinkUp();
  }

  void OnSocketEvents(std::uint32_t events) {
    if ((events & EPOLLOUT) != 0) {
      Flush();
    }
    if (fd_ >= 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
      Receive();
    }
  }

  void Receive() {
    std::array<char, kReceiveBufferBytes> buf;
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    if (n <= 0) {
      Disconnect();
      return;
    }
    receive_buffer_.append(buf.data(), static_cast<std::size_t>(n));
    try {
      LinkMessage message;
      while (fd_ >= 0 && DecodeLinkFrame(&receive_buffer_, &message)) {
        handler_->OnLinkMessage(message);
      }
    } catch (const Error& e) {
      log_.Warning("Malformed frame from the entry. cause={}", e.what());
      Disconnect();
    }
  }

  void Flush() {
    while (!send_buffer_.empty()) {
      const ssize_t n =
          send(fd_, send_buffer_.data(), send_buffer_.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EAGAIN) {
        break;
      }
      if (n < 0) {
        Disconnect();
        return;
      }
      send_buffer_.erase(0, static_cast<std::size_t>(n));
    }
    loop_->Change(fd_, send_buffer_.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
  }

  void Disconnect() {
    Close();
    handler_->OnLinkDown();
  }

  void Close() {
    if (fd_ < 0) {
      return;
    }
    loop_->Unwatch(fd_);
    close(fd_);
    fd_ = -1;
    receive_buffer_.clear();
    send_buffer_.clear();
  }

  PollLoop* loop_;
  LinkHandler* handler_;
  Logger log_{"link"};
  int listen_fd_ = -1;
  int fd_ = -1;  // connection of the entry; -1 if none
  std::string receive_buffer_;
  std::string send_buffer_;
};

}  // namespace

std::unique_ptr<LinkServer> LinkServer::Make(const Address& listen,
                                             PollLoop* loop,
                                             LinkHandler* handler) {
  return std::make_unique<TcpLinkServer>(listen, loop, handler);
}

}  // namespace hornbeamcleat
