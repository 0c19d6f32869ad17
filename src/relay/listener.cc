#include "src/relay/listener.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <tuple>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "src/base/poll_loop.h"
#include "src/base/socket_address.h"

namespace hornbeamcleat {
namespace {

constexpr int kBacklog = 512;
/// Age of a phase below which a connection is not stuck: its bytes may not have
/// been read yet.
constexpr Duration kMinStuckAge = std::chrono::milliseconds(100);
/// The same for the caller of a request whose target still sends.
constexpr Duration kMinSlowReaderAge = std::chrono::milliseconds(500);
/// Bytes per second below which a connection that receives or sends is stuck.
constexpr double kMinBytesPerSecond = 1'000;
/// Time until accepting is tried again while no connection is stuck, or the
/// process has no descriptor left.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

/// Order in which connections are closed for others: stuck ones, then idle
/// ones, then those that make progress; least progress first.
using CloseOrder = std::tuple<int, double>;

bool IsStuck(const CallerProgress& progress) {
  return static_cast<double>(progress.bytes) <
         kMinBytesPerSecond * ToSeconds(progress.since);
}

bool IsSlowReader(const CallerProgress& progress) {
  return progress.kind == CallerProgress::Kind::kSending &&
         !progress.is_target_done && progress.since >= kMinSlowReaderAge &&
         IsStuck(progress);
}

// nullopt if the connection must not be closed for others.
std::optional<CloseOrder> CloseOrderOf(const CallerProgress& progress) {
  using Kind = CallerProgress::Kind;
  if (progress.kind == Kind::kInProgress || progress.since < kMinStuckAge) {
    return std::nullopt;
  }
  const double seconds = ToSeconds(progress.since);
  if (progress.kind == Kind::kIdle) {
    return CloseOrder{1, -seconds};
  }
  if (!progress.is_target_done && !IsSlowReader(progress)) {
    return std::nullopt;
  }
  return CloseOrder{IsStuck(progress) ? 0 : 2,
                    static_cast<double>(progress.bytes) / seconds};
}

void SetBufferSizes(int fd, int bytes) {
  // Accepted connections inherit these sizes. Errors leave the defaults.
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

FileDescriptor Listen(const Address& address, int socket_buffer_bytes) {
  FileDescriptor fd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  const sockaddr_in to = ToSocketAddress(address);
  if (socket_buffer_bytes > 0) {
    SetBufferSizes(fd.Get(), socket_buffer_bytes);
  }
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
                   int max_connections, CallerConnection::Delegate delegate,
                   int socket_buffer_bytes)
    : loop_(loop),
      clock_(clock),
      max_connections_(max_connections),
      delegate_(std::move(delegate)),
      fd_(Listen(address, socket_buffer_bytes)) {
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

void Listener::CloseIdleConnections() {
  for (const auto& [id, connection] : connections_) {
    connection->CloseIfIdle();
  }
}

void Listener::CloseSlowReaders() {
  const Time now = clock_->Now();
  for (const auto& [id, connection] : connections_) {
    if (IsSlowReader(connection->Progress(now))) {
      connection->Evict(CloseCause::kSlowReader);
    }
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
    resume_timer_.reset();
    loop_->Unwatch(fd_.Get());
    fd_.Reset();
  }
}

// Called when a connection waits to be accepted.
void Listener::Accept() {
  if (ConnectionCount() >= max_connections_) {
    // It waits in the backlog until another is closed.
    PauseAccepting();
    CloseStuckConnection();
    return;
  }
  while (is_accepting_ && ConnectionCount() < max_connections_) {
    FileDescriptor fd(
        accept4(fd_.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.Get() < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
          errno == ENOMEM) {
        PauseAccepting();
        CloseStuckConnection();
      }
      return;
    }
    const std::uint64_t id = next_id_++;
    CallerConnection::Delegate delegate = delegate_;
    delegate.on_closed = [this, id] { OnClosed(id); };
    connections_[id] = CallerConnection::Make(loop_, clock_, std::move(fd),
                                              std::move(delegate));
  }
}

void Listener::CloseStuckConnection() {
  const Time now = clock_->Now();
  CallerConnection* stuck = nullptr;
  std::optional<CloseOrder> first;
  for (const auto& [id, connection] : connections_) {
    const std::optional<CloseOrder> order =
        CloseOrderOf(connection->Progress(now));
    if (order.has_value() && (!first.has_value() || *order < *first)) {
      first = order;
      stuck = connection.get();
    }
  }
  if (stuck != nullptr) {
    stuck->Evict(CloseCause::kStuck);
  }
}

void Listener::PauseAccepting() {
  if (is_paused_) {
    return;
  }
  is_paused_ = true;
  loop_->Change(fd_.Get(), 0);
  resume_timer_ = loop_->Timers()->At(clock_->Now() + kAcceptPause,
                                      [this](Time) { ResumeAccepting(); });
}

void Listener::ResumeAccepting() {
  if (is_paused_ && is_accepting_) {
    is_paused_ = false;
    loop_->Change(fd_.Get(), EPOLLIN);
  }
}

// The connection is on the call stack, so it is freed from the loop.
void Listener::OnClosed(std::uint64_t id) {
  loop_->Post([this, id, alive = alive_] {
    if (!*alive) {
      return;
    }
    connections_.erase(id);
    ResumeAccepting();
  });
}

}  // namespace hornbeamcleat
