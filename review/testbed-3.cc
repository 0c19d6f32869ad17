#include "review/testbed-3.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

namespace review3 {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kBacklog = 512;
constexpr int kMaxWaitMs = 30'000;
constexpr int kBeatMs = 1'200;
constexpr int kConnectMs = 1'000;
constexpr char kDaemon[] = "target/hornbeamcleatd";

const Clock::time_point kStart = Clock::now();

[[noreturn]] void Fail(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

sockaddr_in ToSocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

std::string ToText(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

std::string BoundAddress(int fd) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  return ToText(bound);
}

// A free address below the ports that the kernel gives to outgoing connections,
// in a range of this process.
std::string FreeAddress(int type) {
  constexpr int kFirstPort = 20'000;
  constexpr int kRanges = 40;
  constexpr int kPortsPerRange = 300;
  static int next = 0;
  while (next < kPortsPerRange) {
    const int port = kFirstPort + getpid() % kRanges * kPortsPerRange + next++;
    std::string address = "127.0.0.1:" + std::to_string(port);
    const sockaddr_in to = ToSocketAddress(address);
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const bool is_free =
        bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
    close(fd);
    if (is_free) {
      return address;
    }
  }
  throw std::runtime_error("no port is free");
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// Reads from a connection, line by line or by size. Ends at `deadline`.
class Reader {
 public:
  Reader(int fd, double deadline, double gap_s = 0)
      : fd_(fd), deadline_(deadline), gap_s_(gap_s) {}

  bool Line(std::string* line) {
    for (;;) {
      const std::size_t end = bytes_.find("\r\n");
      if (end != std::string::npos) {
        *line = bytes_.substr(0, end);
        bytes_.erase(0, end + 2);
        return true;
      }
      if (!Fill()) {
        return false;
      }
    }
  }

  bool Take(std::size_t size, std::string* out) {
    while (bytes_.size() < size) {
      if (!Fill()) {
        return false;
      }
    }
    out->append(bytes_, 0, size);
    bytes_.erase(0, size);
    return true;
  }

  void SetDeadline(double deadline) { deadline_ = deadline; }

 private:
  bool Fill() {
    double left = deadline_ - Now();
    left = gap_s_ > 0 ? std::min(left, gap_s_) : left;
    pollfd ready = {fd_, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left * 1'000) + 1) <= 0) {
      return false;
    }
    char buf[16'384];
    const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    bytes_.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  const int fd_;
  double deadline_;
  const double gap_s_;  ///< longest wait for further bytes; 0: none
  std::string bytes_;
};

bool ReadHeaders(Reader* reader, Headers* headers) {
  std::string line;
  while (reader->Line(&line)) {
    if (line.empty()) {
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers->emplace_back(line.substr(0, colon),
                          value == std::string::npos ? "" : line.substr(value));
  }
  return false;
}

bool ReadBody(Reader* reader, const Headers& headers, std::string* body) {
  if (strcasecmp(Find(headers, "Transfer-Encoding").c_str(), "chunked") != 0) {
    const std::string length = Find(headers, "Content-Length");
    return length.empty() || reader->Take(std::stoul(length), body);
  }
  std::string line;
  while (reader->Line(&line)) {
    const std::size_t size = std::stoul(line, nullptr, 16);
    std::string end;
    if (!reader->Take(size, body) || !reader->Take(2, &end)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
  return false;
}

std::string FormatHeaders(const Headers& headers, std::size_t body_size) {
  std::string text;
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos && at + 1 < target.size()) {
    const std::size_t end = target.find('&', at + 1);
    const std::string item =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const std::size_t equals = item.find('=');
    query[item.substr(0, equals)] =
        equals == std::string::npos ? "" : item.substr(equals + 1);
    at = end;
  }
  return query;
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= bytes.size()
                 ? kDigits[group >> (18U - 6U * static_cast<unsigned>(k)) & 63U]
                 : '=';
    }
  }
  return out;
}

std::string BigEndian(std::uint64_t value, int size) {
  std::string out;
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
  }
  return out;
}

Response Json(int status, const std::string& body) {
  return {status, {{"Content-Type", "application/json"}}, body};
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepUntil(double at) {
  const double left = at - Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }
}

std::string Find(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

Record::Record(const std::string& path) : out_(path) {}

void Record::Add(const std::string& line) {
  char at[32];
  std::snprintf(at, sizeof(at), "%9.3f ", Now());
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << at << line << std::endl;
}

Server::Server(Handler handler)
    : handler_(std::move(handler)),
      listen_fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in any = ToSocketAddress("127.0.0.1:0");
  if (listen_fd_ < 0 ||
      bind(listen_fd_, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) !=
          0 ||
      listen(listen_fd_, kBacklog) != 0) {
    Fail("listen");
  }
  address_ = BoundAddress(listen_fd_);
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  is_stopping_ = true;
  shutdown(listen_fd_, SHUT_RDWR);
  acceptor_.join();
  close(listen_fd_);
  std::unique_lock<std::mutex> lock(mutex_);
  for (const int fd : open_) {
    shutdown(fd, SHUT_RDWR);
  }
  closed_.wait(lock, [this] { return open_.empty(); });
}

void Server::Accept() {
  while (!is_stopping_) {
    const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.push_back(fd);
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  Reader reader(fd, 0);
  while (!is_stopping_) {
    reader.SetDeadline(Now() + 60);
    std::string line;
    Request request;
    if (!reader.Line(&line) || !ReadHeaders(&reader, &request.headers) ||
        !ReadBody(&reader, request.headers, &request.body)) {
      break;
    }
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (second == std::string::npos) {
      break;
    }
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    const Response response = handler_(request);
    if (response.events > 0) {
      const bool is_sent = SendStream(fd, response);
      response.on_end();
      if (!is_sent) {
        break;
      }
      continue;
    }
    if (response.status == 0 ||
        !SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) + " X\r\n" +
                         FormatHeaders(response.headers, response.body.size()) +
                         response.body)) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  close(fd);
  std::erase(open_, fd);
  closed_.notify_all();
}

// Events have increasing ids from 1 on.
bool Server::SendStream(int fd, const Response& response) const {
  std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " X\r\n";
  for (const auto& [name, value] : response.headers) {
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
  }
  bytes +=
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 1; i <= response.events && !is_stopping_; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(
        i == 1 ? response.first_event_ms : response.pause_ms));
    const std::string event = "id: " + std::to_string(i) + "\ndata: piece\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    bytes += size + event + "\r\n";
    if (!SendAll(fd, bytes)) {
      return false;
    }
    bytes.clear();
  }
  return SendAll(fd, "0\r\n\r\n");
}

Store::Store() {
  server_ = std::make_unique<Server>(
      [this](const Request& request) { return Handle(request); });
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

double Store::Put(const std::string& topic, const std::string& key,
                  const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    topics_[topic].push_back({key, value});
  }
  changed_.notify_all();
  return Now();
}

std::string Store::Newest(const std::string& topic, const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string value;
  for (const Entry& entry : topics_[topic]) {
    if (entry.key == key) {
      value = entry.value;
    }
  }
  return value;
}

void Store::Copy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = topics_;
}

void Store::GoAway() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_away_ = true;
  }
  changed_.notify_all();
}

void Store::Restore() {
  const std::lock_guard<std::mutex> lock(mutex_);
  topics_ = copy_;
  ++era_;
  is_away_ = false;
}

Response Store::Unavailable() const { return {503, {}, ""}; }

Response Store::Handle(const Request& request) {
  const std::map<std::string, std::string> query = ParseQuery(request.target);
  const std::string path = request.target.substr(0, request.target.find('?'));
  Response response = {404, {}, ""};
  if (path == "/-/log-append") {
    response = Append(query, request.body);
  } else if (path == "/-/log-read") {
    response = Read(query);
  } else if (path == "/-/log-newest") {
    response = ReadNewest(query);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  response.headers.emplace_back("Store-Era", std::to_string(era_));
  return response;
}

Response Store::Append(const std::map<std::string, std::string>& query,
                       const std::string& body) {
  const std::string topic = query.at("topic");
  if (topic == "keyed.op" || topic == "keyed.servers") {
    return {403, {}, ""};
  }
  std::vector<Entry> entries;
  for (std::size_t at = 0; at + 5 <= body.size();) {
    std::size_t size = 0;
    for (std::size_t k = 0; k < 4; ++k) {
      size = size << 8U | static_cast<unsigned char>(body[at + k]);
    }
    const std::string record = body.substr(at + 4, size);
    const std::size_t key = static_cast<unsigned char>(record[0]);
    entries.push_back({record.substr(1, key), record.substr(1 + key)});
    at += 4 + size;
  }
  std::size_t first = 0;
  std::size_t end = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_away_) {
      return Unavailable();
    }
    std::vector<Entry>& log = topics_[topic];
    first = log.size();
    const auto at = query.find("at");
    if (at != query.end() && std::stoul(at->second) != first) {
      return Json(412, "{\"end\":" + std::to_string(first) + "}");
    }
    log.insert(log.end(), entries.begin(), entries.end());
    end = log.size();
  }
  changed_.notify_all();
  return Json(200, "{\"offset\":" + std::to_string(first) +
                       ",\"end\":" + std::to_string(end) + "}");
}

Response Store::Read(const std::map<std::string, std::string>& query) {
  const std::string topic = query.at("topic");
  const std::size_t from = std::stoul(query.at("from"));
  const auto wait = query.find("wait_ms");
  const int wait_ms =
      wait == query.end() ? 0 : std::min(kMaxWaitMs, std::stoi(wait->second));
  std::unique_lock<std::mutex> lock(mutex_);
  const int era = era_;
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return is_stopping_ || is_away_ || era != era_ ||
           topics_[topic].size() != from;
  });
  if (is_away_ || is_stopping_ || era != era_) {
    return Unavailable();
  }
  const std::vector<Entry>& log = topics_[topic];
  if (from > log.size()) {
    return Json(410, "{\"first\":0}");
  }
  std::string body = BigEndian(log.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < log.size(); ++i) {
    const Entry& entry = log[i];
    body += BigEndian(1 + entry.key.size() + entry.value.size(), 4);
    body += static_cast<char>(entry.key.size());
    body += entry.key;
    body += entry.value;
  }
  return {200, {}, body};
}

Response Store::ReadNewest(const std::map<std::string, std::string>& query) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_away_) {
    return Unavailable();
  }
  const std::vector<Entry>& log = topics_[query.at("topic")];
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < log.size(); ++i) {
    newest[log[i].key] = i;
  }
  std::string items;
  for (const auto& [key, offset] : newest) {
    if (!log[offset].value.empty()) {
      items += items.empty() ? "" : ",";
      items += "{\"key\":\"" + key + "\",\"value\":\"" +
               Base64(log[offset].value) +
               "\",\"offset\":" + std::to_string(offset) + "}";
    }
  }
  return Json(200, "{\"items\":[" + items + "],\"truncated\":false,\"end\":" +
                       std::to_string(log.size()) + "}");
}

Replica::Replica(Store* store, Spec spec)
    : store_(store),
      spec_(std::move(spec)),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  server_ = std::make_unique<Server>(
      [this](const Request& request) { return Handle(request); });
  beat_ = std::thread([this] { Beat(); });
}

Replica::~Replica() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  stop_.notify_all();
  beat_.join();
  server_.reset();
}

void Replica::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  has_left_ = true;
  store_->Put("keyed.servers", spec_.id, "");
}

void Replica::Announce() {
  const int seq = ++seq_;
  store_->Put(
      "keyed.servers", spec_.id,
      "{\"service\":\"" + spec_.service + "\",\"address\":\"" +
          server_->Address() + "\",\"zone\":\"zone-a\",\"version\":\"" +
          spec_.version + "\",\"slots\":" + std::to_string(spec_.slots) +
          ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" +
          std::to_string(born_) + ",\"seq\":" + std::to_string(seq) + "}");
}

void Replica::Beat() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!is_stopping_) {
    if (!has_left_) {
      Announce();
    }
    stop_.wait_for(lock, std::chrono::milliseconds(kBeatMs),
                   [this] { return is_stopping_; });
  }
}

Response Replica::Handle(const Request& request) {
  const std::string id = Find(request.headers, "Request-Id");
  const std::string expected = Find(request.headers, "Expected-Instance");
  if (!expected.empty() && expected != spec_.id) {
    return {421, {{"Replica-Id", spec_.id}}, ""};
  }
  const int running = ++running_;
  Headers headers = {{"Request-Id", id},
                     {"Replica-Load", std::to_string(running) + ",0," +
                                          std::to_string(spec_.slots)}};
  if (running > spec_.slots) {
    --running_;
    headers.emplace_back("Not-Executed", "1");
    return {503, headers, ""};
  }
  const Answer answer =
      spec_.on_run ? spec_.on_run(request, running) : Answer();
  if (answer.status == 200 && spec_.events > 0) {
    headers.emplace_back("Upstream-Signature", spec_.id + "." + id);
    Response stream = {200, headers, ""};
    stream.events = spec_.events;
    stream.first_event_ms = spec_.work_ms;
    stream.pause_ms = answer.pause_ms > 0 ? answer.pause_ms : spec_.pause_ms;
    stream.on_end = [this] { --running_; };
    return stream;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(spec_.work_ms));
  --running_;
  headers.emplace_back("Upstream-Signature", spec_.id + "." + id);
  return {answer.status, headers, "answer to " + id};
}

Daemon::Daemon(const std::string& folder, const std::string& name,
               const std::string& store)
    : name_(name),
      settings_(folder + "/" + name + ".ini"),
      log_(folder + "/" + name + ".log"),
      front_(FreeAddress(SOCK_STREAM)),
      ready_(FreeAddress(SOCK_STREAM)),
      directory_(FreeAddress(SOCK_STREAM)) {
  std::ofstream out(settings_);
  out << "[vm]\nname = " << name
      << "\nfailure_domain = zone-a\nregion = region-a\n"
      << "regions = zone-a=region-a\nlisten_front = " << front_
      << "\nlisten_ready = " << ready_ << "\nlisten_directory = " << directory_
      << "\nlink = " << FreeAddress(SOCK_DGRAM)
      << "\nlisten_metrics = " << FreeAddress(SOCK_STREAM)
      << "\nmemory_mb = 110\nmax_descriptors = 4100\n[store]\naddress = "
      << store
      << "\n[callers]\ndirectory_keep = 1s\nretry_wait_share = 0.33\n"
         "stable_window = 3000ms\ngrace = 8s\n[targets]\ndrain_use = 2000ms\n"
         "retry_ratio = 0.2\nretry_slack = 52\n[quotas]\n"
         "token_slack = 140000\n[keys]\nlimit = 5000ms\nfail_closed = true\n"
         "[moves]\nexposure_share = 0.1\nrollback_limit = 5000ms\n";
}

Daemon::~Daemon() {
  if (pid_ > 0) {
    Stop(SIGKILL);
  }
}

void Daemon::Start() {
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("HORNBEAMCLEAT_CONFIG", settings_.c_str(), 1);
    setenv("HORNBEAMCLEAT_LOG", "info", 1);
    execl(kDaemon, kDaemon, nullptr);
    _exit(127);
  }
}

void Daemon::Stop(int signal) {
  kill(pid_, signal);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool Daemon::IsRunning() {
  return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0;
}

Connection::Connection(const std::string& address)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  const sockaddr_in to = ToSocketAddress(address);
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  // The result shows in the poll.
  static_cast<void>(
      connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
  pollfd ready = {fd_, POLLOUT, 0};
  if (poll(&ready, 1, kConnectMs) != 1 || (ready.revents & POLLERR) != 0) {
    close(fd_);
    fd_ = -1;
  } else {
    fcntl(fd_, F_SETFL, 0);
  }
}

Connection::~Connection() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

bool Connection::Send(const Request& request) {
  return fd_ >= 0 &&
         SendAll(fd_, request.method + " " + request.target + " HTTP/1.1\r\n" +
                          FormatHeaders(request.headers, request.body.size()) +
                          request.body);
}

Response Connection::Receive(double timeout_s, double gap_s) {
  Response response;
  Reader reader(fd_, Now() + timeout_s, gap_s);
  std::string line;
  if (fd_ >= 0 && reader.Line(&line) && line.size() > 12 &&
      ReadHeaders(&reader, &response.headers) &&
      ReadBody(&reader, response.headers, &response.body)) {
    response.status = std::stoi(line.substr(9, 3));
  }
  return response;
}

Response Call(const std::string& address, const Request& request,
              double timeout_s, double gap_s) {
  Connection connection(address);
  return connection.Send(request) ? connection.Receive(timeout_s, gap_s)
                                  : Response();
}

bool AwaitReady(const Daemon& daemon, double until) {
  while (Now() < until) {
    const Response response =
        Call(daemon.Ready(), {"GET", "/-/ready", {{"Host", "ready"}}, ""}, 1);
    if (response.status == 200) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

std::vector<std::string> Resolve(const Daemon& daemon) {
  const Response response =
      Call(daemon.Directory(),
           {"GET",
            "/-/resolve?name=h.example&region=region-a&zone=zone-a",
            {{"Host", "directory"}},
            ""},
           1);
  std::vector<std::string> addresses;
  const std::string begin = "\"127.";
  for (std::size_t at = response.body.find(begin); at != std::string::npos;) {
    const std::size_t end = response.body.find('"', at + 1);
    addresses.push_back(response.body.substr(at + 1, end - at - 1));
    at = response.body.find(begin, end);
  }
  return addresses;
}

std::string MakeFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string path =
      std::string(base == nullptr ? "/tmp" : base) + "/review-3-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    Fail("make folder");
  }
  return path;
}

bool WantsTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

}  // namespace review3
