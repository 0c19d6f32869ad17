#include "src/net/target_client.h"

#include <curl/curl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "src/base/socket_state.h"
#include "src/net/file_descriptor.h"

namespace hornbeamcleat {
namespace {

constexpr int kEventsPerRun = 64;
constexpr std::int64_t kUploadBufferBytes = 16 * 1024;  // libcurl's minimum
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
/// Bytes of heads and trailers in one exchange, interim responses included.
constexpr std::size_t kMaxHeaderBytes = 65'536;
constexpr Duration kLongestWait = std::chrono::seconds(1);
/// Time between two checks whether a server has taken all of a request. The
/// system reports no such event.
constexpr Duration kDeliveryCheckInterval = std::chrono::milliseconds(5);

class CurlTargetClient;

// State of a request whose response has ended with its connection.
enum class Delivery { kPending, kDone, kFailed };

// One exchange. libcurl holds its address, so it must not move.
struct Transfer {
  CurlTargetClient* owner = nullptr;
  std::uint64_t handle = 0;
  CURL* easy = nullptr;
  curl_slist* lines = nullptr;
  std::string body;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string last_name;  // of the latest field
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  std::size_t max_body_bytes = 0;  // 0: unlimited
  bool sending = false;
  bool aborted = false;
  bool ends_with_connection = false;  // the response has no other framing
  FileDescriptor socket;              // kept after such a response
  std::size_t sent = 0;               // bytes of `body`, once `socket` is kept
  std::optional<Time> due;            // end of the time for the whole exchange
  std::array<char, CURL_ERROR_SIZE> cause{};

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() {
    curl_easy_cleanup(easy);
    curl_slist_free_all(lines);
  }
};

bool IsBlank(char c) { return c == ' ' || c == '\t'; }

std::string_view SkipBlanks(std::string_view text) {
  while (!text.empty() && IsBlank(text.front())) {
    text.remove_prefix(1);
  }
  return text;
}

// Whether a text is a token (RFC 9110, 5.6.2).
bool IsFieldName(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [kMarks](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') ||
                  kMarks.find(c) != std::string_view::npos;
         });
}

void AddHeader(Transfer* transfer, const std::string& name,
               const std::string& value) {
  const std::string line = name + ": " + value;
  transfer->lines = curl_slist_append(transfer->lines, line.c_str());
}

// Suppresses the Expect and Content-Type headers that libcurl adds by default;
// callers' bodies and headers are forwarded unchanged.
void AddHeaders(Transfer* transfer, const TargetRequest& request) {
  bool typed = false;
  for (const auto& [name, value] : request.headers) {
    typed = typed || name == "content-type" || name == "Content-Type";
    if (!value.empty()) {
      AddHeader(transfer, name, value);
    }
  }
  transfer->lines = curl_slist_append(transfer->lines, "Expect:");
  if (!typed) {
    transfer->lines = curl_slist_append(transfer->lines, "Content-Type:");
  }
}

class CurlTargetClient : public TargetClient {
 public:
  explicit CurlTargetClient(TargetHandler* handler)
      : handler_(handler),
        clock_(Clock::Make()),
        epoll_(epoll_create1(EPOLL_CLOEXEC)),
        multi_(curl_multi_init()) {
    if (epoll_.Get() < 0 || multi_ == nullptr) {
      throw Error("make target client", "", "no descriptor or memory");
    }
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  }

  ~CurlTargetClient() override {
    for (const auto& [handle, transfer] : transfers_) {
      curl_multi_remove_handle(multi_, transfer->easy);
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
  }

  void Begin(const TargetRequest& request) override {
    std::unique_ptr<Transfer> transfer = std::make_unique<Transfer>();
    transfer->owner = this;
    transfer->handle = request.handle;
    transfer->body = request.body;
    transfer->max_body_bytes = request.max_body_bytes;
    if (request.timeout > Duration(0)) {
      transfer->due = clock_->Now() + request.timeout;
    }
    transfer->easy = curl_easy_init();
    SetRequest(transfer.get(), request);
    SetCallbacks(transfer.get());
    Transfer* added = transfer.get();
    transfers_[request.handle] = std::move(transfer);
    if (running_) {
      begun_.push_back(added->handle);
    } else {
      curl_multi_add_handle(multi_, added->easy);
    }
  }

  void Abort(std::uint64_t handle) override {
    const auto it = transfers_.find(handle);
    if (it == transfers_.end() || it->second->aborted) {
      return;
    }
    it->second->aborted = true;
    if (running_) {
      aborted_.push_back(handle);
    } else {
      Drop(handle);
    }
  }

  int PollFd() const override { return epoll_.Get(); }

  Duration NextRun() const override {
    std::optional<Time> next = due_;
    if (!undelivered_.empty() && (!next || next_delivery_check_ < *next)) {
      next = next_delivery_check_;
    }
    if (!next) {
      return kLongestWait;
    }
    return std::clamp(*next - clock_->Now(), Duration(0), kLongestWait);
  }

  void Run() override {
    running_ = true;
    RunSockets();
    if (due_ && *due_ <= clock_->Now()) {
      due_.reset();
      int left = 0;
      curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &left);
    }
    TakeEnds();
    CheckDeliveries();
    running_ = false;
    FlushDeferred();
  }

 private:
  void RunSockets() {
    std::array<epoll_event, kEventsPerRun> events;
    const int n = epoll_wait(epoll_.Get(), events.data(), kEventsPerRun, 0);
    for (int i = 0; i < n; ++i) {
      int flags = 0;
      flags |= (events[i].events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
      flags |= (events[i].events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
      flags |= (events[i].events & (EPOLLERR | EPOLLHUP)) != 0
                   ? CURL_CSELECT_ERR
                   : 0;
      int left = 0;
      curl_multi_socket_action(multi_, events[i].data.fd, flags, &left);
    }
  }

  void TakeEnds() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      End(transfer, message->data.result);
    }
  }

  void End(Transfer* transfer, CURLcode result) {
    const std::uint64_t handle = transfer->handle;
    const bool aborted = transfer->aborted;
    TargetEnd end = TargetEnd::kBroken;
    if (result == CURLE_OK && !aborted && transfer->socket.Get() >= 0) {
      AwaitDelivery(transfer);
      return;
    }
    if (result == CURLE_OK) {
      end = TargetEnd::kComplete;
    } else if (!transfer->sending) {
      end = TargetEnd::kNotConnected;
    }
    const std::string cause = transfer->cause[0] != '\0'
                                  ? transfer->cause.data()
                                  : curl_easy_strerror(result);
    Drop(handle);
    if (!aborted) {
      handler_->OnEnd(handle, end, cause);
    }
  }

  // A server that has finished early reads the rest of the request before it
  // closes (RFC 9112, 9.6), one in trouble resets the connection. libcurl stops
  // sending at the end of the response, so the rest is sent here.
  void AwaitDelivery(Transfer* transfer) {
    curl_off_t sent = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    transfer->sent = static_cast<std::size_t>(sent);
    undelivered_.push_back(transfer->handle);
    next_delivery_check_ = clock_->Now();
  }

  void CheckDeliveries() {
    const Time now = clock_->Now();
    if (undelivered_.empty() || now < next_delivery_check_) {
      return;
    }
    next_delivery_check_ = now + kDeliveryCheckInterval;
    std::vector<std::uint64_t> pending;
    for (const std::uint64_t handle : std::exchange(undelivered_, {})) {
      const auto it = transfers_.find(handle);
      if (it == transfers_.end() || it->second->aborted) {
        continue;
      }
      Transfer* transfer = it->second.get();
      Delivery delivery = SendRest(transfer);
      if (delivery == Delivery::kPending && transfer->due &&
          now >= *transfer->due) {
        delivery = Delivery::kFailed;
      }
      if (delivery == Delivery::kPending) {
        pending.push_back(handle);
        continue;
      }
      Drop(handle);
      const bool is_done = delivery == Delivery::kDone;
      handler_->OnEnd(
          handle, is_done ? TargetEnd::kComplete : TargetEnd::kBroken,
          is_done ? "" : "the connection ended before the request was taken");
    }
    undelivered_.insert(undelivered_.end(), pending.begin(), pending.end());
  }

  static Delivery SendRest(Transfer* transfer) {
    const int fd = transfer->socket.Get();
    pollfd state = {fd, 0, 0};
    if (poll(&state, 1, 0) < 0 ||
        (state.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
      return Delivery::kFailed;
    }
    const std::string_view body = transfer->body;
    const std::string_view rest = body.substr(transfer->sent);
    if (!rest.empty()) {
      // Before any byte of the body, the head may not be sent either.
      if (transfer->sent == 0) {
        return Delivery::kFailed;
      }
      const ssize_t n =
          send(fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0) {
        return errno == EAGAIN || errno == EINTR ? Delivery::kPending
                                                 : Delivery::kFailed;
      }
      transfer->sent += static_cast<std::size_t>(n);
    }
    return transfer->sent == body.size() && UnacknowledgedBytes(fd) == 0
               ? Delivery::kDone
               : Delivery::kPending;
  }

  void Drop(std::uint64_t handle) {
    const auto it = transfers_.find(handle);
    if (it != transfers_.end()) {
      curl_multi_remove_handle(multi_, it->second->easy);
      transfers_.erase(it);
    }
  }

  // libcurl rejects adding or removing transfers within its callbacks.
  void FlushDeferred() {
    for (std::uint64_t handle : std::exchange(aborted_, {})) {
      Drop(handle);
    }
    for (std::uint64_t handle : std::exchange(begun_, {})) {
      const auto it = transfers_.find(handle);
      if (it != transfers_.end()) {
        curl_multi_add_handle(multi_, it->second->easy);
      }
    }
  }

  static void SetRequest(Transfer* transfer, const TargetRequest& request) {
    CURL* easy = transfer->easy;
    const std::string url = "http://" + request.address + request.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    // libcurl resends a request whose reused connection turns out to be dead.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, kUploadBufferBytes);
    curl_easy_setopt(
        easy, CURLOPT_CONNECTTIMEOUT_MS,
        std::chrono::ceil<std::chrono::milliseconds>(request.connect_timeout)
            .count());
    curl_easy_setopt(
        easy, CURLOPT_TIMEOUT_MS,
        std::chrono::ceil<std::chrono::milliseconds>(request.timeout).count());
    if (request.method == "POST") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(transfer->body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.data());
    } else if (request.method != "GET") {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    AddHeaders(transfer, request);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->lines);
  }

  static void SetCallbacks(Transfer* transfer) {
    CURL* easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->cause.data());
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnConnected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
    // The transfer may end before its connection is closed.
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer->owner);
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* client,
                      void* registered) {
    CurlTargetClient* self = static_cast<CurlTargetClient*>(client);
    const int epoll = self->epoll_.Get();
    if (what == CURL_POLL_REMOVE) {
      epoll_ctl(epoll, EPOLL_CTL_DEL, fd, nullptr);
      return 0;
    }
    epoll_event event{};
    if ((what & CURL_POLL_IN) != 0) {
      event.events |= EPOLLIN;
    }
    if ((what & CURL_POLL_OUT) != 0) {
      event.events |= EPOLLOUT;
    }
    event.data.fd = fd;
    epoll_ctl(epoll, registered == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
              &event);
    curl_multi_assign(self->multi_, fd, self);
    return 0;
  }

  // NOLINTNEXTLINE(google-runtime-int): the type that the library declares
  static int OnTimer(CURLM*, long ms, void* client) {
    CurlTargetClient* self = static_cast<CurlTargetClient*>(client);
    if (ms < 0) {
      self->due_.reset();
    } else {
      self->due_ = self->clock_->Now() + std::chrono::milliseconds(ms);
    }
    return 0;
  }

  static curl_socket_t OnOpenSocket(void* data, curlsocktype,
                                    curl_sockaddr* address) {
    Transfer* transfer = static_cast<Transfer*>(data);
    const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                          address->protocol);
    if (fd < 0) {
      return CURL_SOCKET_BAD;
    }
    transfer->owner->handle_by_socket_[fd] = transfer->handle;
    return fd;
  }

  // Keeps the socket of an unframed response whose request has a body.
  static int OnCloseSocket(void* client, curl_socket_t fd) {
    FileDescriptor socket(fd);
    CurlTargetClient* self = static_cast<CurlTargetClient*>(client);
    const auto handle = self->handle_by_socket_.find(fd);
    if (handle == self->handle_by_socket_.end()) {
      return 0;
    }
    const auto it = self->transfers_.find(handle->second);
    self->handle_by_socket_.erase(handle);
    if (it != self->transfers_.end() && it->second->ends_with_connection &&
        !it->second->body.empty()) {
      it->second->socket = std::move(socket);
    }
    return 0;
  }

  static int OnConnected(void* data, char*, char*, int, int) {
    Transfer* transfer = static_cast<Transfer*>(data);
    if (transfer->aborted) {
      return CURL_PREREQFUNC_ABORT;
    }
    transfer->sending = true;
    transfer->owner->handler_->OnSending(transfer->handle);
    return transfer->aborted ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
  }

  static std::size_t OnHeaderLine(char* data, std::size_t size, std::size_t n,
                                  void* user) {
    Transfer* transfer = static_cast<Transfer*>(user);
    transfer->header_bytes += size * n;
    if (transfer->header_bytes > kMaxHeaderBytes) {
      return 0;
    }
    std::string_view line(data, size * n);
    while (line.ends_with('\n') || line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    bool is_valid = true;
    if (line.starts_with("HTTP/")) {
      transfer->headers.clear();
      transfer->last_name.clear();
    } else if (line.empty()) {
      transfer->owner->TakeHead(transfer);
    } else {
      is_valid = AddHeaderLine(transfer, line);
    }
    return transfer->aborted || !is_valid ? 0 : size * n;
  }

  // Returns false for a line that is no field of HTTP. libcurl passes such
  // lines on, and a reader with other rules could take them for the framing or
  // the identity of the response.
  static bool AddHeaderLine(Transfer* transfer, std::string_view line) {
    if (IsBlank(line.front())) {
      return ContinueField(transfer, line);
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos ||
        !IsFieldName(line.substr(0, colon))) {
      return false;
    }
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    transfer->headers[name] = SkipBlanks(line.substr(colon + 1));
    transfer->last_name = name;
    return true;
  }

  // Adds an obsolete continuation line (RFC 9112, 5.2). Directly after the
  // status line, there is nothing to continue.
  static bool ContinueField(Transfer* transfer, std::string_view line) {
    if (transfer->last_name.empty()) {
      return false;
    }
    transfer->headers[transfer->last_name].append(" ").append(SkipBlanks(line));
    return true;
  }

  void TakeHead(Transfer* transfer) {
    // NOLINTNEXTLINE(google-runtime-int): the type that the library declares
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    // Trailers end with an empty line too.
    if (status < kFirstFinalStatus || transfer->status != 0 ||
        transfer->aborted) {
      return;
    }
    transfer->status = static_cast<int>(status);
    transfer->ends_with_connection =
        status != kNoContent && status != kNotModified &&
        transfer->headers.count("content-length") == 0 &&
        transfer->headers.count("transfer-encoding") == 0;
    handler_->OnHead(transfer->handle, transfer->status, transfer->headers);
  }

  static std::size_t OnBytes(char* data, std::size_t size, std::size_t n,
                             void* user) {
    Transfer* transfer = static_cast<Transfer*>(user);
    transfer->body_bytes += size * n;
    if (transfer->max_body_bytes > 0 &&
        transfer->body_bytes > transfer->max_body_bytes) {
      return CURL_WRITEFUNC_ERROR;
    }
    if (!transfer->aborted) {
      transfer->owner->handler_->OnBody(transfer->handle, {data, size * n});
    }
    return transfer->aborted ? CURL_WRITEFUNC_ERROR : size * n;
  }

  TargetHandler* handler_;
  std::unique_ptr<Clock> clock_;
  FileDescriptor epoll_;
  CURLM* multi_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers_;
  std::optional<Time> due_;
  std::unordered_map<curl_socket_t, std::uint64_t> handle_by_socket_;
  std::vector<std::uint64_t> undelivered_;  // their responses have ended
  Time next_delivery_check_;
  bool running_ = false;
  std::vector<std::uint64_t> begun_;
  std::vector<std::uint64_t> aborted_;
};

}  // namespace

std::unique_ptr<TargetClient> TargetClient::Make(TargetHandler* handler) {
  // Runs once, before any thread uses libcurl.
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (initialized != CURLE_OK) {
    throw Error("make target client", "", curl_easy_strerror(initialized));
  }
  return std::make_unique<CurlTargetClient>(handler);
}

}  // namespace hornbeamcleat
