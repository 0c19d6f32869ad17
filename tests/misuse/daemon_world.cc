#include "tests/misuse/daemon_world.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "hornbeamcleat/base/timer_service.h"
#include "src/base/socket_address.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 64;
/// Body of an answer to /safe/big.
constexpr std::size_t kBigAnswerBytes = 2'000'000;
/// Only a request that is never answered reaches this time.
constexpr milliseconds kAnswerTime(5'000);
constexpr int kMaxStarts = 5;
constexpr milliseconds kStartTime(20'000);

class NoWork : public RequestHandler {
 public:
  void OnFlushed() override {}
};

/// Time that a request to /held/later runs.
constexpr milliseconds kLaterTime(3'000);

// Answers after a time, unless the request is cancelled.
class LaterWork : public RequestHandler {
 public:
  LaterWork(PollLoop* loop, const Clock* clock, std::function<void()> answer)
      : timer_(loop->Timers()->At(
            clock->Now() + kLaterTime,
            [answer = std::move(answer)](Time) { answer(); })) {}
  void Cancel() override { timer_.reset(); }
  void OnFlushed() override {}

 private:
  std::unique_ptr<TimerService::Subscription> timer_;
};

std::uint16_t FreePort(int type) {
  const FileDescriptor fd(socket(AF_INET, type, 0));
  const sockaddr_in address = ToSocketAddress({"127.0.0.1", 0});
  if (bind(fd.Get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    throw std::runtime_error("can't find a free port");
  }
  return BoundAddress(fd.Get()).port;
}

// Status of a complete head in `bytes`; 0 if it is incomplete.
int StatusOf(const std::string& bytes) {
  constexpr std::size_t kStatusAt = 9;
  if (bytes.find("\r\n\r\n") == std::string::npos) {
    return 0;
  }
  const int status = std::atoi(bytes.c_str() + kStatusAt);
  return status == 100 ? StatusOf(bytes.substr(bytes.find("\r\n\r\n") + 4))
                       : status;
}

}  // namespace

const char* PlaceName(Place place) {
  switch (place) {
    case Place::kRoute:
      return "Route";
    case Place::kNoRoute:
      return "NoRoute";
    case Place::kReadiness:
      return "Readiness";
    case Place::kDirectory:
      return "Directory";
    case Place::kMetrics:
      return "Metrics";
  }
  return "unknown";
}

DaemonWorld::DaemonWorld(const Options& options) : options_(options) {
  std::string folder = "/tmp/hornbeamcleat-misuse-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("can't make a folder");
  }
  folder_ = folder;
  store_ = std::make_unique<platform::FakeStore>(loop_.get(), clock_.get());
  StartTarget();
  PutRecords(options);
  StartDaemon();
  thread_ = std::thread([this] { loop_->Run(); });
}

DaemonWorld::~DaemonWorld() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  loop_->Quit();
  thread_.join();
  // Work that frees requests of the store and the target runs before these go.
  loop_->RunOnce(Duration(0));
  loop_->RunOnce(Duration(0));
  std::filesystem::remove_all(folder_);
}

void DaemonWorld::StartTarget() {
  CallerConnection::Delegate delegate;
  delegate.options = [] {
    CallerConnection::Options options;
    options.limits.max_body_bytes = 16'777'216;
    options.limits.max_header_bytes = 65'536;
    options.user_timeout = std::chrono::seconds(60);
    return options;
  };
  delegate.is_draining = [] { return false; };
  delegate.may_buffer = [](std::size_t) { return true; };
  delegate.on_rejected = [](std::string_view) {};
  delegate.on_response_cut = [](std::size_t) {};
  delegate.handle = [this](
                        const CallerRequest& request,
                        ResponseSink* sink) -> std::unique_ptr<RequestHandler> {
    const std::string& path = request.head.target;
    if (path.starts_with("/held/silent")) {
      return std::make_unique<NoWork>();
    }
    const std::string* id = FindHeader(request.head.headers, "Request-Id");
    const HeaderList headers = {{"Request-Id", id == nullptr ? "" : *id},
                                {"Upstream-Signature", "sig"}};
    const std::string body =
        path.starts_with("/safe/big")
            ? std::string(kBigAnswerBytes, 'x')
            : fmt::format("body of {} bytes", request.body.size());
    if (path.starts_with("/held/later")) {
      return std::make_unique<LaterWork>(
          loop_.get(), clock_.get(), [sink, headers, body] {
            sink->SendResponse(200, "", headers, body);
          });
    }
    sink->SendResponse(200, "", headers, body);
    return std::make_unique<NoWork>();
  };
  target_ = std::make_unique<Listener>(loop_.get(), clock_.get(),
                                       Address{"127.0.0.1", 0}, 1'000,
                                       std::move(delegate));
}

void DaemonWorld::PutRecords(const Options& options) {
  store_->Put("keyed.op", "config",
              fmt::format(R"({{"version":1,"limits":{{"max_body_bytes":{},)"
                          R"("header_timeout_ms":{},"idle_timeout_ms":{}}},)"
                          R"("routes":[{{"name":"safe","hostname":"h",)"
                          R"("path_prefix":"/safe/","route_type":"idempotent",)"
                          R"("timeout_ms":60000,"target_latency_ms":10000,)"
                          R"("max_attempts":2,"service":"s"}},{{"name":"held",)"
                          R"("hostname":"h","path_prefix":"/held/",)"
                          R"("route_type":"non_idempotent","timeout_ms":60000,)"
                          R"("target_latency_ms":10000,"service":"q"}}],)"
                          R"("services":[{{"name":"s"}},{{"name":"q"}}]}})",
                          options.max_body_bytes, options.header_timeout_ms,
                          options.idle_timeout_ms));
  // Two services at one listener, so that requests of a crowd that are never
  // answered leave the slots of the other service free.
  for (const char* service : {"s", "q"}) {
    store_->Put("keyed.servers", fmt::format("t-{}", service),
                fmt::format(R"({{"service":"{}","address":"{}","zone":"d0",)"
                            R"("slots":{},"state":"ready"}})",
                            service, target_->Bound().ToString(), kSlots));
  }
}

void DaemonWorld::StartDaemon() {
  front_ = FreePort(SOCK_STREAM);
  ready_ = FreePort(SOCK_STREAM);
  directory_ = FreePort(SOCK_STREAM);
  metrics_ = FreePort(SOCK_STREAM);
  const std::string settings = folder_ + "/vm.ini";
  std::ofstream(settings) << fmt::format(
      "[vm]\nname = vm0\nfailure_domain = d0\nlisten_front = 127.0.0.1:{}\n"
      "listen_ready = 127.0.0.1:{}\nlisten_directory = 127.0.0.1:{}\n"
      "link = 127.0.0.1:{}\nlisten_metrics = 127.0.0.1:{}\n"
      "memory_mb = {}\nmax_descriptors = {}\n[store]\naddress = {}\n",
      front_, ready_, directory_, FreePort(SOCK_DGRAM), metrics_,
      options_.memory_mb, options_.max_descriptors, store_->Bound().ToString());
  const std::string program =
      std::string(HORNBEAMCLEAT_BINARY_DIR) + "/hornbeamcleatd";
  const std::string log = folder_ + "/vm.log";
  pid_ = fork();
  if (pid_ == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const rlimit files = {static_cast<rlim_t>(options_.max_descriptors),
                          static_cast<rlim_t>(options_.max_descriptors)};
    setrlimit(RLIMIT_NOFILE, &files);
    execl(program.c_str(), program.c_str(), "--settings", settings.c_str(),
          nullptr);
    _exit(127);
  }
}

bool DaemonWorld::AwaitReady() {
  const auto end = std::chrono::steady_clock::now() + kStartTime;
  int starts = 1;
  while (std::chrono::steady_clock::now() < end) {
    if (!IsAlive()) {
      // Another process may have taken one of the ports in the meantime.
      if (++starts > kMaxStarts) {
        return false;
      }
      StartDaemon();
    }
    if (AskOrdinary(Place::kReadiness) == 200 &&
        AskOrdinary(Place::kDirectory) == 200 &&
        AskOrdinary(Place::kRoute) == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

bool DaemonWorld::IsAlive() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

std::string DaemonWorld::ReadProcFile(const std::string& name) const {
  std::ifstream in(fmt::format("/proc/{}/{}", pid_, name));
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::int64_t DaemonWorld::StatusKb(const std::string& key) const {
  const std::string text = ReadProcFile("status");
  const std::size_t at = text.find(key + ":");
  return at == std::string::npos
             ? -1
             : std::atol(text.c_str() + at + key.size() + 1);
}

std::int64_t DaemonWorld::PeakMemoryKb() const { return StatusKb("VmHWM"); }
std::int64_t DaemonWorld::MemoryKb() const { return StatusKb("VmRSS"); }

int DaemonWorld::OpenDescriptors() const {
  int count = 0;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(
           fmt::format("/proc/{}/fd", pid_), error)) {
    count += entry.path().empty() ? 0 : 1;
  }
  return count;
}

std::uint16_t DaemonWorld::Port(Place place) const {
  switch (place) {
    case Place::kRoute:
    case Place::kNoRoute:
      return front_;
    case Place::kReadiness:
      return ready_;
    case Place::kDirectory:
      return directory_;
    case Place::kMetrics:
      return metrics_;
  }
  return 0;
}

std::string DaemonWorld::Path(Place place) {
  switch (place) {
    case Place::kRoute:
      return "/safe/x";
    case Place::kNoRoute:
      return "/none/x";
    case Place::kReadiness:
      return "/-/ready";
    case Place::kDirectory:
      return "/-/resolve?name=h";
    case Place::kMetrics:
      return "/metrics";
  }
  return "/";
}

int DaemonWorld::ExpectedStatus(Place place) {
  return place == Place::kNoRoute ? 404 : 200;
}

int DaemonWorld::Ask(Place place, const std::string& request) const {
  OrdinaryCaller caller(this, place);
  caller.Send(request);
  return caller.AwaitStatus();
}

int DaemonWorld::AskOrdinary(Place place) const {
  return Ask(place, OrdinaryRequest(place));
}

std::string DaemonWorld::OrdinaryRequest(Place place) {
  return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nRequest-Id: o1\r\n\r\n",
                     Path(place));
}

OrdinaryCaller::OrdinaryCaller(const DaemonWorld* world, Place place)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  const sockaddr_in to = ToSocketAddress({"127.0.0.1", world->Port(place)});
  // A refused connection shows at the first send.
  static_cast<void>(
      connect(fd_.Get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
}

void OrdinaryCaller::Send(const std::string& bytes) {
  unsent_ += bytes;
  const ssize_t n =
      send(fd_.Get(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
  unsent_.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
}

int OrdinaryCaller::AwaitStatus() {
  received_.clear();
  const auto end = std::chrono::steady_clock::now() + kAnswerTime;
  while (StatusOf(received_) == 0 && std::chrono::steady_clock::now() < end) {
    pollfd item = {fd_.Get(), POLLIN, 0};
    if (!unsent_.empty()) {
      item.events |= POLLOUT;
    }
    poll(&item, 1, 100);
    if (!unsent_.empty() && (item.revents & POLLOUT) != 0) {
      Send("");
    }
    if ((item.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      char buf[16'384];
      const ssize_t n = recv(fd_.Get(), buf, sizeof(buf), 0);
      if (n > 0) {
        received_.append(buf, static_cast<std::size_t>(n));
      } else if (n == 0 || errno != EAGAIN) {
        break;
      }
    }
  }
  return StatusOf(received_);
}

void OrdinaryCaller::DiscardReceived() {
  char buf[16'384];
  while (recv(fd_.Get(), buf, sizeof(buf), 0) > 0) {
  }
}

}  // namespace hornbeamcleat
