#include "src/relay/listener.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/base/poll_loop.h"
#include "src/base/socket_address.h"

namespace hornbeamcleat {
namespace {

constexpr int kBacklog = 512;

FileDescriptor Listen(const Address& address) {
  FileDescriptor fd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  const sockaddr_in to = ToSocketAddress(address);
  if (fd.Get() < 0 ||
      setsockopt(fd.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      bind(fd.Get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 ||
      listen(fd.Get(), kBacklog) != 0) {
    throw Error("listen", address.ToString(), strerror(errno));
  }
  return fd;
}

}  // namespace

Listener::Listener(PollLoop* loop, const Clock* clock, const Address& address,
                   int max_connections, CallerConnection::Delegate delegate)
    : loop_(loop),
      clock_(clock),
      max_connections_(max_connections),
      delegate_(std::move(delegate)),
      fd_(Listen(address)) {
  loop_->Watch(fd_.Get(), EPOLLIN, [this](std::uint32_t) { Accept(); });
}

Listener::~Listener() {
  *alive_ = false;
  StopAccepting();
}

Address Listener::Bound() const { return BoundAddress(fd_.Get()); }

int Listener::BusyConnections() const {
  return static_cast<int>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& item) { return item.second->IsBusy(); }));
}

std::size_t Listener::BufferedBytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, connection] : connections_) {
    bytes += connection->BufferedBytes();
  }
  return bytes;
}

void Listener::CloseIdleConnections() {
  for (const auto& [id, connection] : connections_) {
    connection->CloseIfIdle();
  }
}

void Listener::EndRequestsBeforeExit() {
  for (const auto& [id, connection] : connections_) {
    connection->EndBeforeExit();
  }
}

void Listener::StopAccepting() {
  if (is_accepting_) {
    is_accepting_ = false;
    loop_->Unwatch(fd_.Get());
    fd_.Reset();
  }
}

void Listener::Accept() {
  while (is_accepting_) {
    if (ConnectionCount() >= max_connections_) {
      // Further connections wait in the backlog until one is closed.
      is_full_ = true;
      loop_->Change(fd_.Get(), 0);
      return;
    }
    FileDescriptor fd(
        accept4(fd_.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.Get() < 0) {
      return;
    }
    const std::uint64_t id = next_id_++;
    CallerConnection::Delegate delegate = delegate_;
    delegate.on_closed = [this, id] { OnClosed(id); };
    connections_[id] = CallerConnection::Make(loop_, clock_, std::move(fd),
                                              std::move(delegate));
  }
}

// The connection is on the call stack, so it is freed from the loop.
void Listener::OnClosed(std::uint64_t id) {
  loop_->Post([this, id, alive = alive_] {
    if (!*alive) {
      return;
    }
    connections_.erase(id);
    if (is_full_ && is_accepting_) {
      is_full_ = false;
      loop_->Change(fd_.Get(), EPOLLIN);
    }
  });
}

}  // namespace hornbeamcleat
