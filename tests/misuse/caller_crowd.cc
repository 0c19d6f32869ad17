#include "tests/misuse/caller_crowd.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

#include "src/base/socket_address.h"

namespace hornbeamcleat {
namespace {

/// Receive buffer of callers, small so that unread answers stay at the daemon.
constexpr int kReceiveBufferBytes = 4'096;
/// Rounds without any progress after which sending ends.
constexpr int kMaxIdleRounds = 30;
constexpr std::chrono::milliseconds kIdlePause(10);
/// Rounds between two samples of descriptors.
constexpr int kSamplePeriod = 16;

}  // namespace

CallerCrowd::CallerCrowd(DaemonWorld* world, Place place, Plan plan)
    : world_(world), plan_(std::move(plan)) {
  for (int i = 0; i < plan_.callers; ++i) {
    Connect(world_->Port(place));
  }
}

void CallerCrowd::Connect(std::uint16_t port) {
  Caller caller;
  caller.fd = FileDescriptor(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  setsockopt(caller.fd.Get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  const sockaddr_in to = ToSocketAddress({"127.0.0.1", port});
  // A refused connection shows at the first send.
  static_cast<void>(connect(
      caller.fd.Get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
  callers_.push_back(std::move(caller));
}

void CallerCrowd::Run() {
  int idle_rounds = 0;
  for (int round = 0; round < plan_.max_rounds && idle_rounds < kMaxIdleRounds;
       ++round) {
    const bool has_progress = RunRound();
    idle_rounds = has_progress ? 0 : idle_rounds + 1;
    if (!has_progress) {
      std::this_thread::sleep_for(kIdlePause);
    }
    if (plan_.pause_ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(plan_.pause_ms));
    }
    if (round % kSamplePeriod == 0) {
      Sample();
    }
    const bool is_done = std::all_of(
        callers_.begin(), callers_.end(), [this](const Caller& caller) {
          return caller.is_closed || caller.sent == plan_.bytes.size();
        });
    if (is_done && !plan_.reads) {
      break;
    }
  }
  // The daemon may still be reading what its sockets hold.
  std::this_thread::sleep_for(kIdlePause * kMaxIdleRounds);
  Sample();
}

bool CallerCrowd::RunRound() {
  bool has_progress = false;
  for (Caller& caller : callers_) {
    if (!caller.is_closed) {
      has_progress = Send(&caller) || has_progress;
    }
    if (!caller.is_closed && plan_.reads) {
      has_progress = Receive(&caller) || has_progress;
    }
  }
  return has_progress;
}

bool CallerCrowd::Send(Caller* caller) {
  const std::size_t size =
      std::min(plan_.piece, plan_.bytes.size() - caller->sent);
  if (size == 0) {
    return false;
  }
  const ssize_t n = send(caller->fd.Get(), plan_.bytes.data() + caller->sent,
                         size, MSG_NOSIGNAL);
  if (n > 0) {
    caller->sent += static_cast<std::size_t>(n);
    return true;
  }
  caller->is_closed = errno != EAGAIN && errno != ENOTCONN;
  return false;
}

bool CallerCrowd::Receive(Caller* caller) {
  std::string buf(plan_.read_piece, '\0');
  const ssize_t n = recv(caller->fd.Get(), buf.data(), buf.size(), 0);
  caller->is_closed = n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN);
  return n > 0;
}

void CallerCrowd::Sample() {
  peak_descriptors_ = std::max(peak_descriptors_, world_->OpenDescriptors());
}

}  // namespace hornbeamcleat
