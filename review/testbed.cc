#include "review/testbed.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <thread>
#include <utility>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1'000'000;
constexpr int kHttpGone = 410;

sockaddr_in Loopback(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

bool CanBind(int type, int port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(fd);
  return is_free;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

// Reads more bytes; false at the end of the connection or of the time.
bool ReadMore(int fd, double deadline, std::string* buffer) {
  pollfd ready = {fd, POLLIN, 0};
  const double left = deadline - Now();
  if (left <= 0 ||
      poll(&ready, 1, static_cast<int>(std::min(left, 3'600.0) * 1'000) + 1) <=
          0) {
    return false;
  }
  char bytes[65'536];
  const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
  if (n <= 0) {
    return false;
  }
  buffer->append(bytes, static_cast<std::size_t>(n));
  return true;
}

bool ReadChunks(int fd, double deadline, std::string* buffer,
                std::string* body) {
  for (;;) {
    std::size_t end = 0;
    while ((end = buffer->find("\r\n")) == std::string::npos) {
      if (!ReadMore(fd, deadline, buffer)) {
        return false;
      }
    }
    const std::size_t size = std::stoul(buffer->substr(0, end), nullptr, 16);
    buffer->erase(0, end + 2);
    while (buffer->size() < size + 2) {
      if (!ReadMore(fd, deadline, buffer)) {
        return false;
      }
    }
    body->append(*buffer, 0, size);
    buffer->erase(0, size + 2);
    if (size == 0) {
      return true;
    }
  }
}

bool ReadMessage(int fd, double deadline, std::string* buffer, Message* out) {
  std::size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, deadline, buffer)) {
      return false;
    }
  }
  std::string head = buffer->substr(0, end + 2);
  buffer->erase(0, end + 4);
  const std::string start = head.substr(0, head.find("\r\n"));
  head.erase(0, start.size() + 2);
  const std::size_t space = start.find(' ');
  if (start.starts_with("HTTP/")) {
    out->status = std::atoi(start.substr(space + 1).c_str());
  } else {
    out->method = start.substr(0, space);
    out->target =
        start.substr(space + 1, start.find(' ', space + 1) - space - 1);
  }
  while (!head.empty()) {
    const std::string line = head.substr(0, head.find("\r\n"));
    head.erase(0, line.size() + 2);
    const std::size_t colon = line.find(':');
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    out->headers[LowerCase(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  if (out->Header("transfer-encoding") == "chunked") {
    return ReadChunks(fd, deadline, buffer, &out->body);
  }
  const std::size_t size = static_cast<std::size_t>(
      std::atol(out->Header("content-length").c_str()));
  while (buffer->size() < size) {
    if (!ReadMore(fd, deadline, buffer)) {
      return false;
    }
  }
  out->body = buffer->substr(0, size);
  buffer->erase(0, size);
  return true;
}

bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(
          i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63]);
    }
  }
  return text;
}

void AppendBigEndian(std::uint64_t value, std::size_t size, std::string* out) {
  for (std::size_t i = size; i > 0; --i) {
    out->push_back(static_cast<char>(value >> (8 * (i - 1)) & 0xff));
  }
}

std::uint64_t BigEndian(const std::string& bytes, std::size_t at,
                        std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  }
  return value;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepUntil(double seconds) { SleepFor(seconds - Now()); }

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int FreePort() {
  constexpr int kFirst = 20'000;
  constexpr int kPorts = 12'000;
  static int next = getpid() * 397 % kPorts;
  for (int i = 0; i < kPorts; ++i) {
    const int port = kFirst + next++ % kPorts;
    if (CanBind(SOCK_STREAM, port) && CanBind(SOCK_DGRAM, port)) {
      return port;
    }
  }
  return 0;
}

void Record::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  char time[32];
  snprintf(time, sizeof(time), "%8.3f ", Now());
  out_ << time << line << std::endl;
}

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string Message::Query(const std::string& name) const {
  const std::string query = "&" + target.substr(target.find('?') + 1);
  const std::size_t at = query.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 2;
  return query.substr(begin, query.find('&', begin) - begin);
}

Server::Server(Handler handler) : handler_(std::move(handler)) {
  constexpr int kBacklog = 512;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  port_ = FreePort();
  const sockaddr_in address = Loopback(port_);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, kBacklog) != 0) {
    _exit(kCouldNotRun);
  }
  std::thread([this, fd] {
    for (;;) {
      const int caller = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller >= 0) {
        std::thread([this, caller] { Serve(caller); }).detach();
      }
    }
  }).detach();
}

std::string Server::Address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void Server::Serve(int fd) const {
  constexpr double kIdleTime = 15;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string buffer;
  Message request;
  while (ReadMessage(fd, Now() + kIdleTime, &buffer, &request)) {
    const std::string response = handler_(request);
    if (response.empty() || !SendAll(fd, response)) {
      break;
    }
    request = Message();
  }
  close(fd);
}

std::string FormatResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Concat(std::initializer_list<std::string_view> parts) {
  std::string all;
  for (const std::string_view part : parts) {
    all += part;
  }
  return all;
}

std::string FormatPost(const std::string& path, const std::string& id,
                       const std::string& key, const std::string& more) {
  return Concat({"POST ", path, " HTTP/1.1\r\nHost: h\r\nRequest-Id: ", id,
                 "\r\nDeadline-Ms: 3000\r\nApi-Key: ", key, "\r\n", more,
                 "Content-Length: 4\r\n\r\nbody"});
}

Message Ask(int port, const std::string& request, double timeout) {
  Message response;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  std::string buffer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    response.body = "no connection";
  } else if (!SendAll(fd, request) ||
             !ReadMessage(fd, Now() + timeout, &buffer, &response)) {
    response = Message();
    response.body = "closed without an answer";
  }
  close(fd);
  return response;
}

Store::Store() {
  server_ = std::make_unique<Server>(
      [this](const Message& request) { return Handle(request); });
}

void Store::Put(const std::string& topic, const std::string& key,
                const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Apply(&topics_[topic], {key, value});
  changed_.notify_all();
}

void Store::SetDown(const std::string& topic, bool is_down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  down_[topic] = is_down;
  changed_.notify_all();
}

void Store::SetAllDown(bool is_down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  all_down_ = is_down;
  changed_.notify_all();
}

void Store::Copy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = topics_;
}

void Store::Restore() {
  const std::lock_guard<std::mutex> lock(mutex_);
  topics_ = copy_;
  ++era_;
  all_down_ = false;
  changed_.notify_all();
}

void Store::Apply(Topic* topic, const Item& item) {
  if (item.value.empty()) {
    topic->newest.erase(item.key);
  } else {
    topic->newest[item.key] = {item.value, topic->records.size()};
  }
  topic->records.push_back(item);
}

std::string Store::Respond(int status, const std::string& body) const {
  return FormatResponse(status, {{"Store-Era", std::to_string(era_)}}, body);
}

std::string Store::Handle(const Message& request) {
  constexpr int kBusy = 503;
  constexpr double kAnswerTime = 0.004;
  SleepFor(kAnswerTime);
  std::unique_lock<std::mutex> lock(mutex_);
  const std::string name = request.Query("topic");
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (all_down_ || down_[name]) {
    return Respond(kBusy, "");
  }
  if (path == "/-/log-newest") {
    return Newest(topics_[name], request.Query("after"));
  }
  if (path == "/-/log-read") {
    return Read(name, std::stoull(request.Query("from")),
                std::atof(request.Query("wait_ms").c_str()) / 1'000, &lock);
  }
  if (path == "/-/log-append") {
    return Append(&topics_[name], request);
  }
  return Respond(404, "");
}

std::string Store::Newest(const Topic& topic, const std::string& after) {
  std::string items;
  std::size_t count = 0;
  bool is_truncated = false;
  for (auto it = topic.newest.upper_bound(after); it != topic.newest.end();
       ++it) {
    if (count == kMaxPageItems || items.size() > kMaxPageBytes) {
      is_truncated = true;
      break;
    }
    ++count;
    items += (items.empty() ? "" : ",") + std::string(R"({"key":")") +
             it->first + R"(","value":")" + Base64(it->second.first) +
             R"(","offset":)" + std::to_string(it->second.second) + "}";
  }
  return Respond(200, R"({"items":[)" + items + R"(],"truncated":)" +
                          (is_truncated ? "true" : "false") + R"(,"end":)" +
                          std::to_string(topic.records.size()) + "}");
}

std::string Store::Read(const std::string& name, std::uint64_t from,
                        double wait, std::unique_lock<std::mutex>* lock) {
  const double until = Now() + wait;
  const int era = era_;
  while (era == era_ && !all_down_ && !down_[name] &&
         topics_[name].records.size() == from && Now() < until) {
    changed_.wait_for(*lock, std::chrono::duration<double>(until - Now()));
  }
  if (era != era_ || all_down_ || down_[name]) {
    return "";
  }
  const Topic& topic = topics_[name];
  if (from > topic.records.size()) {
    return Respond(kHttpGone, R"({"first":0})");
  }
  std::string body;
  AppendBigEndian(topic.records.size(), 8, &body);
  AppendBigEndian(0, 8, &body);
  for (std::size_t i = from;
       i < topic.records.size() && body.size() < kMaxPageBytes; ++i) {
    const Item& item = topic.records[i];
    AppendBigEndian(1 + item.key.size() + item.value.size(), kLengthBytes,
                    &body);
    AppendBigEndian(item.key.size(), 1, &body);
    body += item.key + item.value;
  }
  return Respond(200, body);
}

std::string Store::Append(Topic* topic, const Message& request) {
  const std::string at = request.Query("at");
  const std::uint64_t offset = topic->records.size();
  if (!at.empty() && std::stoull(at) != offset) {
    return Respond(412, R"({"end":)" + std::to_string(offset) + "}");
  }
  const std::string& body = request.body;
  for (std::size_t i = 0; i + kLengthBytes < body.size();) {
    const std::size_t size = BigEndian(body, i, kLengthBytes);
    const std::size_t key = BigEndian(body, i + kLengthBytes, 1);
    const std::size_t begin = i + kLengthBytes + 1;
    Apply(topic,
          {body.substr(begin, key), body.substr(begin + key, size - 1 - key)});
    i += kLengthBytes + size;
  }
  changed_.notify_all();
  return Respond(200, R"({"offset":)" + std::to_string(offset) + R"(,"end":)" +
                          std::to_string(topic->records.size()) + "}");
}

Replica::Replica(std::string id, double work, OnRun on_run)
    : id_(std::move(id)),
      work_(work),
      on_run_(std::move(on_run)),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {
  server_ = std::make_unique<Server>([this](const Message& request) {
    const std::string expected = request.Header("expected-instance");
    if (!expected.empty() && expected != id_) {
      return FormatResponse(421, {{"Replica-Id", id_}}, "");
    }
    on_run_(request);
    SleepFor(work_);
    return FormatResponse(200,
                          {{"Request-Id", request.Header("request-id")},
                           {"Upstream-Signature", "signed"},
                           {"Replica-Load", "1,0,64"}},
                          "answer to " + request.Header("request-id"));
  });
}

std::string Replica::Entry(const std::string& service, const std::string& zone,
                           int slots) const {
  return R"({"service":")" + service + R"(","address":")" + server_->Address() +
         R"(","zone":")" + zone + R"(","version":"v1","slots":)" +
         std::to_string(slots) +
         R"(,"state":"ready","cold_remaining_ms":0,"seq":1,"born":)" +
         std::to_string(born_ms_) + "}";
}

Vm::Vm(const std::string& folder, const std::string& name,
       const std::string& zone, const std::string& store)
    : name_(name),
      front_(FreePort()),
      ready_(FreePort()),
      settings_(folder + "/" + name + ".ini"),
      log_(folder + "/" + name + ".log") {
  const auto address = [](int port) {
    return "127.0.0.1:" + std::to_string(port) + "\n";
  };
  std::ofstream(settings_) << "[vm]\nname = " << name
                           << "\nfailure_domain = " << zone
                           << "\nlisten_front = " << address(front_)
                           << "listen_ready = " << address(ready_)
                           << "listen_directory = " << address(FreePort())
                           << "link = " << address(FreePort())
                           << "listen_metrics = " << address(FreePort())
                           << "memory_mb = 260\nmax_descriptors = 4100\n"
                           << "[store]\naddress = " << store
                           << "\n[callers]\ndirectory_keep = 1s\ngrace = 8s\n"
                           << "[targets]\ndrain_use = 2000ms\n"
                           << "retry_ratio = 0.2\nretry_slack = 56\n"
                           << "[quotas]\ntoken_slack = 140000\n"
                           << "[keys]\nlimit = 5000ms\nfail_closed = true\n"
                           << "[moves]\nexposure_share = 0.1\n"
                           << "rollback_limit = 5000ms\n";
}

Vm::~Vm() { Kill(); }

void Vm::Start() {
  constexpr char kProgram[] = "target/hornbeamcleatd";
  pid_ = fork();
  if (pid_ == 0) {
    const int out =
        open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("HORNBEAMCLEAT_CONFIG", settings_.c_str(), 1);
    setenv("HORNBEAMCLEAT_LOG", "info", 1);
    execl(kProgram, kProgram, nullptr);
    _exit(127);
  }
}

void Vm::Signal(int number) const {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

void Vm::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Vm::HasEnded(std::string* how) {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  pid_ = -1;
  *how = WIFSIGNALED(status)
             ? "signal " + std::to_string(WTERMSIG(status))
             : "exit code " + std::to_string(WEXITSTATUS(status));
  return true;
}

bool Vm::IsReady() const {
  return Ask(ready_, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n", 1).status ==
         200;
}

bool AwaitReady(const std::vector<std::unique_ptr<Vm>>& vms, double timeout) {
  const double until = Now() + timeout;
  while (Now() < until) {
    if (std::all_of(vms.begin(), vms.end(), [](const std::unique_ptr<Vm>& vm) {
          return vm->IsReady();
        })) {
      return true;
    }
    SleepFor(0.1);
  }
  return false;
}

std::string MakeFolder() {
  char folder[] = "/tmp/hornbeamcleat-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    _exit(kCouldNotRun);
  }
  return folder;
}

void End(int code, std::vector<std::unique_ptr<Vm>>* vms,
         const std::string& folder) {
  vms->clear();
  std::error_code ec;
  std::filesystem::remove_all(folder, ec);
  _exit(code);
}

}  // namespace review
