#include "tests/soak/loopback_proxy.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/base/socket_address.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kSilenceLimit = std::chrono::seconds(30);
constexpr Duration kDelay = std::chrono::milliseconds(80);
constexpr int kBacklog = 128;

}  // namespace

LoopbackProxy::LoopbackProxy(PollLoop* loop, const Clock* clock,
                             const Address& to)
    : loop_(loop),
      clock_(clock),
      to_(to),
      fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  const sockaddr_in any = ToSocketAddress({"127.0.0.1", 0});
  if (bind(fd_.Get(), reinterpret_cast<const sockaddr*>(&any), sizeof(any)) !=
          0 ||
      listen(fd_.Get(), kBacklog) != 0) {
    throw Error("listen", "127.0.0.1", "the proxy gets no port");
  }
  loop_->Watch(fd_.Get(), EPOLLIN, [this](std::uint32_t) { Accept(); });
}

LoopbackProxy::~LoopbackProxy() { loop_->Unwatch(fd_.Get()); }

Address LoopbackProxy::Bound() const { return BoundAddress(fd_.Get()); }

void LoopbackProxy::SetMode(Mode mode) {
  mode_ = mode;
  for (const std::shared_ptr<Pair>& pair : pairs_) {
    Forward(pair);
  }
}

void LoopbackProxy::ResetAll() {
  const std::list<std::shared_ptr<Pair>> pairs = pairs_;
  for (const std::shared_ptr<Pair>& pair : pairs) {
    Close(pair, StreamEnd::kBroken);
  }
}

void LoopbackProxy::Accept() {
  FileDescriptor fd(
      accept4(fd_.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.Get() < 0) {
    return;
  }
  const std::shared_ptr<Pair> pair = std::make_shared<Pair>();
  pair->caller = ByteStream::Accepted(loop_, std::move(fd), kSilenceLimit);
  if (mode_ == Mode::kRefuse) {
    pair->caller->Abort();
    return;
  }
  try {
    pair->target = ByteStream::Connect(loop_, to_, kSilenceLimit);
  } catch (const Error&) {
    pair->caller->Abort();
    return;
  }
  pairs_.push_back(pair);
  Attach(pair);
}

void LoopbackProxy::Attach(const std::shared_ptr<Pair>& pair) {
  const std::weak_ptr<Pair> weak = pair;
  ByteStream::Callbacks caller;
  caller.on_bytes = [this, weak](std::string_view bytes) {
    if (const std::shared_ptr<Pair> live = weak.lock()) {
      live->to_target.append(bytes);
      Forward(live);
    }
  };
  ByteStream::Callbacks target;
  target.on_bytes = [this, weak](std::string_view bytes) {
    if (const std::shared_ptr<Pair> live = weak.lock()) {
      live->to_caller.append(bytes);
      Forward(live);
    }
  };
  caller.on_end = [this, weak](StreamEnd end) {
    if (const std::shared_ptr<Pair> live = weak.lock()) {
      Close(live, end);
    }
  };
  target.on_end = caller.on_end;
  pair->caller->SetCallbacks(std::move(caller));
  pair->target->SetCallbacks(std::move(target));
}

void LoopbackProxy::Forward(const std::shared_ptr<Pair>& pair) {
  if (pair->is_dead || mode_ == Mode::kSilent) {
    return;
  }
  std::string request = std::exchange(pair->to_target, {});
  constexpr std::string_view kVersion = " HTTP/1.1\r\n";
  const std::size_t at = request.find(kVersion);
  if (is_http10_ && at != std::string::npos) {
    request.replace(at, kVersion.size(), " HTTP/1.0\r\n");
  }
  pair->target->Write(request);
  if (mode_ == Mode::kOneWay || pair->to_caller.empty()) {
    return;
  }
  if (mode_ == Mode::kPass) {
    pair->caller->Write(std::exchange(pair->to_caller, {}));
  } else if (pair->delay == nullptr) {
    const std::weak_ptr<Pair> weak = pair;
    pair->delay = loop_->Timers()->At(clock_->Now() + kDelay, [weak](Time) {
      const std::shared_ptr<Pair> live = weak.lock();
      if (live != nullptr && !live->is_dead) {
        live->caller->Write(std::exchange(live->to_caller, {}));
        live->delay.reset();
      }
    });
  }
}

// A clean end is passed on behind the bytes before it; a reset as a reset.
void LoopbackProxy::Close(const std::shared_ptr<Pair>& pair, StreamEnd end) {
  if (pair->is_dead) {
    return;
  }
  if (end == StreamEnd::kClean) {
    Forward(pair);
    if (!pair->to_caller.empty()) {
      pair->caller->Write(std::exchange(pair->to_caller, {}));
    }
    pair->caller->FinishWriting();
  } else {
    pair->caller->Abort();
  }
  pair->is_dead = true;
  pair->target->Abort();
  loop_->Post([this, pair] { pairs_.remove(pair); });
}

}  // namespace hornbeamcleat
