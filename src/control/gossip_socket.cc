#include "src/control/gossip_socket.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/base/poll_loop.h"
#include "src/base/socket_address.h"

namespace hornbeamcleat {
namespace {

// Longer datagrams are truncated.
constexpr std::size_t kMaxDatagramBytes = 2'048;
constexpr int kMaxDatagramsPerEvent = 64;

class UdpGossipSocket : public GossipSocket {
 public:
  UdpGossipSocket(const Address& listen, PollLoop* loop, Receiver receiver)
      : loop_(loop), receiver_(std::move(receiver)) {
    const sockaddr_in address = ToSocketAddress(listen);
    fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&address),
                        sizeof(address)) != 0) {
      const std::string cause = strerror(errno);
      close(fd_);
      throw Error("listen for gossip", listen.ToString(), cause);
    }
    loop_->Watch(fd_, EPOLLIN, [this](std::uint32_t) { Receive(); });
  }

  ~UdpGossipSocket() override {
    loop_->Unwatch(fd_);
    close(fd_);
  }

  Address ListenAddress() const override { return BoundAddress(fd_); }

  void Send(const Datagram& datagram) override {
    const sockaddr_in to = ToSocketAddress(datagram.to);
    sendto(fd_, datagram.bytes.data(), datagram.bytes.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

 private:
  // Bounded, so that a flood of datagrams does not delay timers.
  void Receive() {
    std::array<char, kMaxDatagramBytes> buf;
    for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
      sockaddr_in from{};
      socklen_t from_size = sizeof(from);
      const ssize_t n =
          recvfrom(fd_, buf.data(), buf.size(), 0,
                   reinterpret_cast<sockaddr*>(&from), &from_size);
      if (n < 0) {
        return;
      }
      receiver_(FromSocketAddress(from),
                {buf.data(), static_cast<std::size_t>(n)});
    }
  }

  PollLoop* loop_;
  Receiver receiver_;
  int fd_ = -1;
};

}  // namespace

std::unique_ptr<GossipSocket> GossipSocket::Make(const Address& listen,
                                                 PollLoop* loop,
                                                 Receiver receiver) {
  return std::make_unique<UdpGossipSocket>(listen, loop, std::move(receiver));
}

}  // namespace hornbeamcleat
