#include "src/net/caller_front.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdarg>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/error.h"
#include "src/net/caller_exchange.h"
#include "src/net/file_descriptor.h"

namespace hornbeamcleat {
namespace {

constexpr unsigned kIdleTimeoutSeconds = 60;
constexpr std::size_t kIdleConnections = 512;  // kept alive between requests
constexpr std::size_t kConnectionMemoryBytes = 16 * 1024;
constexpr unsigned kBacklog = 1024;
constexpr int kEventsPerRun = 64;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnavailable = 503;

CallerAnswer Refusal(int status, const char* title, const char* reason) {
  CallerAnswer answer;
  answer.status = status;
  answer.content_type = "application/problem+json";
  answer.headers["Retry-After"] = "1";
  answer.body = std::string("{\"type\":\"about:blank\",\"title\":\"") + title +
                "\",\"status\":" + std::to_string(status) +
                ",\"outcome\":\"not_run\",\"reason\":\"" + reason +
                "\",\"retryAfterMs\":1000}";
  return answer;
}

MHD_Result AddHeader(void* request, MHD_ValueKind, const char* name,
                     const char* value) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  static_cast<CallerRequest*>(request)->headers[lower] =
      value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result AddQuery(void* request, MHD_ValueKind, const char* name,
                    const char* value) {
  static_cast<CallerRequest*>(request)->query[name] =
      value == nullptr ? "" : value;
  return MHD_YES;
}

std::size_t DeclaredContentLength(const CallerRequest& request) {
  std::size_t n = 0;
  const auto it = request.headers.find("content-length");
  if (it != request.headers.end()) {
    const std::string& text = it->second;
    std::from_chars(text.data(), text.data() + text.size(), n);
  }
  return n;
}

class MicrohttpdFront : public CallerFront {
 public:
  MicrohttpdFront(std::size_t max_body, std::size_t max_open,
                  std::size_t max_buffered, CallerHandler* handler)
      : max_body_(max_body),
        max_open_(max_open),
        max_buffered_(max_buffered),
        handler_(handler),
        epoll_(epoll_create1(EPOLL_CLOEXEC)),
        callers_(epoll_create1(EPOLL_CLOEXEC)),
        wakeup_event_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

  // MHD_stop_daemon must not be called while connections are suspended.
  ~MicrohttpdFront() override {
    if (daemon_ == nullptr) {
      return;
    }
    for (const auto& [handle, exchange] : exchanges_) {
      exchange->Fail();
    }
    MHD_run(daemon_);
    MHD_stop_daemon(daemon_);
  }

  void Listen(const Address& listen) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(listen.port);
    if (inet_pton(AF_INET, listen.ip.c_str(), &address.sin_addr) != 1) {
      throw Error("listen", listen.ToString(), "not an IPv4 number");
    }
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
        listen.port, nullptr, nullptr, &OnAccess, this,
        MHD_OPTION_EXTERNAL_LOGGER, &OnLog, this, MHD_OPTION_SOCK_ADDR,
        &address, MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted, this,
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(max_open_ + kIdleConnections),
        MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, kBacklog, MHD_OPTION_STRICT_FOR_CLIENT,
        1, MHD_OPTION_END);
    if (daemon_ == nullptr) {
      throw Error("listen", listen.ToString(), "the address can't be used");
    }
    listening_ = listen;
    listening_.port =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
    Watch(MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd);
    Watch(callers_.Get());
    Watch(wakeup_event_.Get());
  }

  Address Listening() const override { return listening_; }
  int PollFd() const override { return epoll_.Get(); }
  std::size_t Open() const override { return exchanges_.size(); }
  FrontRefusals Refusals() const override { return refusals_; }

  void Run() override {
    if (std::exchange(run_pending_, false)) {
      std::uint64_t n = 0;
      [[maybe_unused]] const ssize_t size =
          read(wakeup_event_.Get(), &n, sizeof(n));
    }
    AbandonDisconnectedCallers();
    MHD_run(daemon_);
    DeliverAll();
    MHD_UNSIGNED_LONG_LONG wait_ms = 1;
    if (MHD_get_timeout(daemon_, &wait_ms) == MHD_YES && wait_ms == 0) {
      ScheduleRun();
    }
  }

  void Answer(std::uint64_t handle, const CallerAnswer& answer) override {
    if (CallerExchange* exchange = Find(handle)) {
      exchange->SetAnswer(answer, false);
      ScheduleRun();
    }
  }

  void Begin(std::uint64_t handle, const CallerAnswer& head) override {
    if (CallerExchange* exchange = Find(handle)) {
      exchange->SetAnswer(head, true);
      ScheduleRun();
    }
  }

  bool Write(std::uint64_t handle, std::string_view bytes) override {
    CallerExchange* exchange = Find(handle);
    ScheduleRun();
    return exchange != nullptr && exchange->Write(bytes, max_buffered_);
  }

  void End(std::uint64_t handle) override {
    if (CallerExchange* exchange = Find(handle)) {
      exchange->End();
      ScheduleRun();
    }
  }

  void Abandon(std::uint64_t handle) override {
    if (CallerExchange* exchange = Find(handle)) {
      exchange->Fail();
      ScheduleRun();
    }
  }

  void Quiesce() override {
    const MHD_socket fd = MHD_quiesce_daemon(daemon_);
    if (fd != MHD_INVALID_SOCKET) {
      close(fd);
    }
  }

 private:
  struct Closed {
    std::uint64_t handle;
    bool sent_whole;
  };

  // libmicrohttpd handles a resumed connection in its next MHD_run; without
  // internal threads it doesn't signal its epoll descriptor.
  void ScheduleRun() {
    if (!std::exchange(run_pending_, true)) {
      const std::uint64_t n = 1;
      [[maybe_unused]] const ssize_t size =
          write(wakeup_event_.Get(), &n, sizeof(n));
    }
  }

  void Watch(int fd) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    if (epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, fd, &event) != 0) {
      throw Error("listen", listening_.ToString(), "the descriptor is refused");
    }
  }

  CallerExchange* Find(std::uint64_t handle) {
    const auto it = exchanges_.find(handle);
    return it == exchanges_.end() ? nullptr : it->second.get();
  }

  // libmicrohttpd doesn't poll suspended connections, so a caller that
  // disconnects meanwhile is detected here.
  void AbandonDisconnectedCallers() {
    std::array<epoll_event, kEventsPerRun> events;
    const int n = epoll_wait(callers_.Get(), events.data(), kEventsPerRun, 0);
    for (int i = 0; i < n; ++i) {
      Abandon(events[i].data.u64);
    }
  }

  void WatchCaller(CallerExchange* exchange) {
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = exchange->Handle();
    epoll_ctl(callers_.Get(), EPOLL_CTL_ADD, exchange->Socket(), &event);
  }

  // Runs outside libmicrohttpd's callbacks, so the handler may call this
  // server.
  void DeliverAll() {
    for (std::uint64_t handle : std::exchange(arrived_, {})) {
      if (CallerExchange* exchange = Find(handle)) {
        handler_->OnRequest(std::move(*exchange->Request()));
      }
    }
    for (const Closed& closed : std::exchange(closed_, {})) {
      handler_->OnClosed(closed.handle, closed.sent_whole);
    }
  }

  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method, const char*,
                             const char* data, std::size_t* size,
                             void** state) {
    MicrohttpdFront* front = static_cast<MicrohttpdFront*>(self);
    CallerExchange* exchange = static_cast<CallerExchange*>(*state);
    if (exchange == nullptr) {
      exchange = front->AddExchange(connection, url, method);
      *state = exchange;
      return front->HandleHeaders(exchange);
    }
    if (*size > 0) {
      exchange->AddBody({data, *size}, front->max_body_);
      *size = 0;
      return MHD_YES;
    }
    return front->HandleRequestEnd(exchange);
  }

  CallerExchange* AddExchange(MHD_Connection* connection, const char* url,
                              const char* method) {
    const std::uint64_t handle = ++last_handle_;
    std::unique_ptr<CallerExchange> exchange =
        std::make_unique<CallerExchange>(handle, connection);
    CallerRequest* request = exchange->Request();
    request->method = method;
    request->path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader, request);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQuery,
                              request);
    CallerExchange* added = exchange.get();
    exchanges_[handle] = std::move(exchange);
    return added;
  }

  MHD_Result HandleHeaders(CallerExchange* exchange) {
    if (exchanges_.size() > max_open_) {
      ++refusals_.too_many;
      exchange->SetAnswer(
          Refusal(kStatusUnavailable, "Too many open requests", "queue_full"),
          false);
      return exchange->QueueAnswer();
    }
    if (DeclaredContentLength(*exchange->Request()) > max_body_) {
      return RefuseTooLarge(exchange);
    }
    return MHD_YES;
  }

  MHD_Result RefuseTooLarge(CallerExchange* exchange) {
    ++refusals_.too_large;
    exchange->SetAnswer(
        Refusal(kStatusTooLarge, "The body is too large", "bad_request"),
        false);
    return exchange->QueueAnswer();
  }

  MHD_Result HandleRequestEnd(CallerExchange* exchange) {
    if (exchange->Failed()) {
      return MHD_NO;
    }
    if (exchange->TooLarge()) {
      return RefuseTooLarge(exchange);
    }
    if (exchange->Answered()) {
      return exchange->QueueAnswer();
    }
    if (exchange->Delivered()) {
      exchange->Suspend();
      return MHD_YES;
    }
    exchange->Deliver();
    WatchCaller(exchange);
    arrived_.push_back(exchange->Handle());
    return MHD_YES;
  }

  static void OnCompleted(void* self, MHD_Connection*, void** state,
                          MHD_RequestTerminationCode code) {
    MicrohttpdFront* front = static_cast<MicrohttpdFront*>(self);
    CallerExchange* exchange = static_cast<CallerExchange*>(*state);
    if (exchange == nullptr) {
      return;
    }
    if (exchange->Delivered()) {
      epoll_ctl(front->callers_.Get(), EPOLL_CTL_DEL, exchange->Socket(),
                nullptr);
      front->closed_.push_back(
          {exchange->Handle(), code == MHD_REQUEST_TERMINATED_COMPLETED_OK});
    }
    *state = nullptr;
    front->exchanges_.erase(exchange->Handle());
  }

  // libmicrohttpd reports malformed input only through its log.
  static void OnLog(void* self, const char*, std::va_list) {
    ++static_cast<MicrohttpdFront*>(self)->refusals_.malformed;
  }

  std::size_t max_body_;
  std::size_t max_open_;
  std::size_t max_buffered_;
  CallerHandler* handler_;
  FileDescriptor epoll_;         // returned by PollFd
  FileDescriptor callers_;       // sockets of callers awaiting a response
  FileDescriptor wakeup_event_;  // readable while `run_pending_`
  bool run_pending_ = false;     // libmicrohttpd has pending work
  MHD_Daemon* daemon_ = nullptr;
  Address listening_;
  std::uint64_t last_handle_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<CallerExchange>> exchanges_;
  std::vector<std::uint64_t> arrived_;
  std::vector<Closed> closed_;
  FrontRefusals refusals_;
};

}  // namespace

std::unique_ptr<CallerFront> CallerFront::Make(const Address& listen,
                                               std::size_t max_body,
                                               std::size_t max_open,
                                               std::size_t max_buffered,
                                               CallerHandler* handler) {
  std::unique_ptr<MicrohttpdFront> front = std::make_unique<MicrohttpdFront>(
      max_body, max_open, max_buffered, handler);
  front->Listen(listen);
  return front;
}

}  // namespace hornbeamcleat
