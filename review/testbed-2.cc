#include "review/testbed-2.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <future>
#include <stdexcept>
#include <utility>

#include "hornbeamcleat/base/timer_service.h"
#include "src/base/socket_address.h"
#include "src/relay/header_list.h"

namespace hornbeamcleat::review {
namespace {

constexpr char kIp[] = "127.0.0.1";
constexpr char kProgram[] = "target/hornbeamcleatd";
constexpr std::size_t kMaxBodyBytes = 8'388'608;
constexpr std::size_t kMaxHeaderBytes = 65'536;
/// Requests that wait at a replica; site file, `queue` of hire-app.
constexpr std::size_t kQueue = 24;
constexpr int kReadyPollMs = 20;
constexpr int kReadyTimeoutMs = 500;

std::uint16_t FreePort(int type) {
  const FileDescriptor fd(socket(AF_INET, type, 0));
  const sockaddr_in address = ToSocketAddress({kIp, 0});
  if (bind(fd.Get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    throw std::runtime_error("no free port");
  }
  return BoundAddress(fd.Get()).port;
}

CallerConnection::Delegate ServerDelegate() {
  CallerConnection::Delegate delegate;
  delegate.options = [] {
    CallerConnection::Options options;
    options.limits.max_body_bytes = kMaxBodyBytes;
    options.limits.max_header_bytes = kMaxHeaderBytes;
    options.user_timeout = std::chrono::seconds(60);
    return options;
  };
  delegate.is_draining = [] { return false; };
  delegate.may_buffer = [](std::size_t) { return true; };
  delegate.on_rejected = [](std::string_view) {};
  delegate.on_response_cut = [](std::size_t) {};
  return delegate;
}

std::string Header(const CallerRequest& request, const char* name) {
  const std::string* value = FindHeader(request.head.headers, name);
  return value == nullptr ? std::string() : *value;
}

class NoWork : public RequestHandler {
 public:
  void OnFlushed() override {}
};

}  // namespace

Client::Client(Testbed* bed, std::uint16_t port)
    : bed_(bed), fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in to = ToSocketAddress({kIp, port});
  if (connect(fd_.Get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    fd_.Reset();
  }
}

Answer Client::Ask(const std::string& request, int timeout_ms) {
  Answer answer;
  if (fd_.Get() < 0) {
    return answer;
  }
  const std::unique_ptr<HttpParser> parser =
      HttpParser::ForResponse({kMaxHeaderBytes, kMaxBodyBytes}, false);
  const double end = bed_->NowMs() + timeout_ms;
  std::size_t sent = 0;
  while (!parser->Done() && parser->Error() == ParseError::kNone &&
         bed_->NowMs() < end) {
    pollfd item = {fd_.Get(), POLLIN, 0};
    if (sent < request.size()) {
      item.events |= POLLOUT;
    }
    poll(&item, 1, static_cast<int>(end - bed_->NowMs()) + 1);
    if ((item.revents & POLLOUT) != 0) {
      const ssize_t n =
          send(fd_.Get(), request.data() + sent, request.size() - sent,
               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN) {
        // The answer may have come before the request was sent.
        sent = request.size();
      }
      sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    if ((item.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      std::array<char, 16'384> buf{};
      const ssize_t n = recv(fd_.Get(), buf.data(), buf.size(), MSG_DONTWAIT);
      if (n > 0) {
        parser->Feed({buf.data(), static_cast<std::size_t>(n)});
      } else if (n == 0) {
        parser->FeedEnd();
        break;
      } else if (errno != EAGAIN) {
        break;
      }
    }
  }
  if (parser->Done()) {
    answer.status = parser->Head().status;
    answer.body = *parser->Body();
    answer.keep_alive = parser->Head().keep_alive;
  }
  if (!answer.keep_alive) {
    fd_.Reset();
  }
  return answer;
}

/// A request that waits for a slot or runs; it ends early if its connection
/// closes.
class Replica::Work : public RequestHandler {
 public:
  Work(Replica* replica, Run run, std::function<void()> answer)
      : replica_(replica), run_(std::move(run)), answer_(std::move(answer)) {}
  ~Work() override { Cancel(); }
  Work(const Work&) = delete;
  Work& operator=(const Work&) = delete;

  void Start() {
    is_running_ = true;
    run_.at_ms = replica_->bed_->NowMs();
    const std::size_t index = replica_->bed_->AddRun(run_);
    timer_ = replica_->bed_->Loop()->Timers()->At(
        replica_->bed_->GetClock()->Now() + replica_->work_,
        [this, index](Time) {
          replica_->bed_->CompleteRun(index);
          answer_();
        });
  }

  void Cancel() override {
    timer_.reset();
    replica_->waiting_.remove(this);
    if (std::exchange(is_running_, false)) {
      replica_->OnSlotFree();
    }
  }

  void OnFlushed() override {}

 private:
  Replica* const replica_;
  Run run_;
  const std::function<void()> answer_;
  bool is_running_ = false;
  std::unique_ptr<TimerService::Subscription> timer_;
};

Replica::Replica(Testbed* bed, std::string id, std::string service, int slots,
                 int work_ms)
    : bed_(bed),
      id_(std::move(id)),
      service_(std::move(service)),
      slots_(slots),
      work_(std::chrono::milliseconds(work_ms)) {
  bed_->OnLoop([this] { Listen(); });
}

void Replica::Listen() {
  is_gone_ = false;
  born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  CallerConnection::Delegate delegate = ServerDelegate();
  delegate.handle = [this](const CallerRequest& request, ResponseSink* sink) {
    return Serve(request, sink);
  };
  listener_ =
      std::make_unique<Listener>(bed_->Loop(), bed_->GetClock(),
                                 Address{kIp, 0}, 500, std::move(delegate));
  address_ = listener_->Bound();
}

void Replica::CrashOn(std::function<bool(const CallerRequest&)> crashes,
                      int back_ms) {
  bed_->OnLoop([&] {
    crashes_ = std::move(crashes);
    back_after_ = std::chrono::milliseconds(back_ms);
  });
}

void Replica::SetAnswerBytes(std::size_t bytes) {
  bed_->OnLoop([&] { answer_bytes_ = bytes; });
}

void Replica::CrashNow() {
  bed_->OnLoop([this] { Crash(); });
}

// Called while a request is at work, which goes with the listener.
void Replica::Crash() {
  bed_->Loop()->Post([this] {
    if (std::exchange(is_gone_, true)) {
      return;
    }
    bed_->AddCrash(id_);
    listener_.reset();
    running_ = 0;
    waiting_.clear();
    back_timer_ = bed_->Loop()->Timers()->At(
        bed_->GetClock()->Now() + back_after_, [this](Time) {
          Listen();
          bed_->PutOnLoop("keyed.servers", id_, Entry());
        });
  });
}

std::string Replica::Entry() const {
  return fmt::format(
      R"({{"service":"{}","address":"{}","zone":"mids-a","version":"v1",)"
      R"("slots":{},"state":"ready","cold_remaining_ms":0,"seq":1,"born":{}}})",
      service_, address_.ToString(), slots_, born_ms_);
}

void Replica::Exit() {
  bed_->OnLoop([this] {
    is_gone_ = true;
    listener_.reset();
  });
}

void Replica::OnSlotFree() {
  running_ = std::max(0, running_ - 1);
  if (!waiting_.empty() && !is_gone_) {
    Work* const next = waiting_.front();
    waiting_.pop_front();
    ++running_;
    next->Start();
  }
}

std::unique_ptr<RequestHandler> Replica::Serve(const CallerRequest& request,
                                               ResponseSink* sink) {
  const std::string id = Header(request, "Request-Id");
  const std::string expected = Header(request, "Expected-Instance");
  const HeaderList not_executed = {{"Request-Id", id}, {"Not-Executed", "1"}};
  if (!expected.empty() && expected != id_) {
    sink->SendResponse(421, "", not_executed, "");
    return std::make_unique<NoWork>();
  }
  if (waiting_.size() >= kQueue) {
    sink->SendResponse(503, "", not_executed, "");
    return std::make_unique<NoWork>();
  }
  // Requests of engines state the parts of their prompts and get events.
  const bool is_stream = !Header(request, "Prefix-Hash").empty();
  std::unique_ptr<Work> work = std::make_unique<Work>(
      this, Run{id, id_, Header(request, "Tenant-Id"), 0, false},
      [this, id, sink, is_stream, crashes = crashes_ && crashes_(request)] {
        if (crashes) {
          Crash();
          return;
        }
        sink->SendResponse(
            200, "",
            {{"Request-Id", id},
             {"Upstream-Signature", "sig-" + id},
             {"Content-Type", is_stream ? "text/event-stream" : "text/plain"},
             {"Replica-Load",
              fmt::format("{},{},{}", running_ - 1, waiting_.size(), slots_)}},
            is_stream ? fmt::format("id: 1\ndata: {}\n\n", id)
                      : "answer to " + id + std::string(answer_bytes_, '.'));
      });
  if (running_ < slots_) {
    ++running_;
    work->Start();
  } else {
    waiting_.push_back(work.get());
  }
  return work;
}

Testbed::Testbed(const std::string& record, int daemons) : record_(record) {
  std::string folder = "/tmp/hornbeamcleat-review-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("can't make a folder");
  }
  folder_ = folder;
  store_ = std::make_unique<platform::FakeStore>(loop_.get(), clock_.get());
  const std::string store = store_->Bound().ToString();
  for (int i = 0; i < daemons; ++i) {
    Daemon daemon;
    daemon.name = fmt::format("edge-mids-a-{}", i + 1);
    daemon.settings = fmt::format("{}/{}.ini", folder_, daemon.name);
    daemon.front = FreePort(SOCK_STREAM);
    daemon.ready = FreePort(SOCK_STREAM);
    // As platform/settings.ini renders them for soarpaddle.
    std::ofstream(daemon.settings) << fmt::format(
        "[vm]\nname = {}\nfailure_domain = mids-a\nregion = mids\n"
        "regions = mids-a=mids,mids-b=mids,mids-c=mids\n"
        "listen_front = {ip}:{}\nlisten_ready = {ip}:{}\n"
        "listen_directory = {ip}:{}\nlink = {ip}:{}\n"
        "listen_metrics = {ip}:{}\nmemory_mb = 110\nmax_descriptors = 4100\n"
        "[store]\naddress = {}\n"
        "[callers]\ndirectory_keep = 1s\nretry_wait_share = 0.33\n"
        "stable_window = 3000ms\ngrace = 8s\n"
        "[targets]\ndrain_use = 2000ms\nretry_ratio = 0.2\n"
        "retry_slack = 52\n[quotas]\ntoken_slack = 140000\n"
        "[keys]\nlimit = 5000ms\nfail_closed = true\n"
        "[moves]\nexposure_share = 0.1\nrollback_limit = 5000ms\n",
        daemon.name, daemon.front, daemon.ready, FreePort(SOCK_STREAM),
        FreePort(SOCK_DGRAM), FreePort(SOCK_STREAM), store,
        fmt::arg("ip", kIp));
    daemons_.push_back(daemon);
  }
  thread_ = std::thread([this] { loop_->Run(); });
}

Testbed::~Testbed() {
  for (int i = 0; i < Daemons(); ++i) {
    KillDaemon(i);
  }
  OnLoop([this] { replicas_.clear(); });
  loop_->Quit();
  thread_.join();
  // Work that frees requests of the store runs before the store goes.
  loop_->RunOnce(Duration(0));
  loop_->RunOnce(Duration(0));
  store_.reset();
  std::filesystem::remove_all(folder_);
}

double Testbed::NowMs() const {
  return static_cast<double>((clock_->Now() - start_).count()) / 1'000.0;
}

void Testbed::Note(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  record_ << fmt::format("{:9.1f} {}\n", NowMs(), line) << std::flush;
}

void Testbed::Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Testbed::OnLoop(const std::function<void()>& work) {
  std::promise<void> done;
  loop_->Post([&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

void Testbed::Put(const std::string& topic, const std::string& key,
                  const std::string& value) {
  Note(fmt::format("store: {} {} = {}", topic, key,
                   value.empty() ? "(removed)" : value));
  OnLoop([&] { store_->Put(topic, key, value); });
}

void Testbed::CopyStore() {
  Note("store: copy taken");
  OnLoop([this] { store_->Copy(); });
}

void Testbed::SetStoreAway(bool is_away) {
  using Fault = platform::FakeStore::Fault;
  Note(is_away ? "store: away" : "store: answers");
  OnLoop([&] { store_->SetFault(is_away ? Fault::kBusy : Fault::kNone); });
}

void Testbed::RestoreStore() {
  Note("store: back from the copy, Store-Era risen");
  OnLoop([this] { store_->Restore(); });
}

Replica* Testbed::AddReplica(const std::string& id, const std::string& service,
                             int slots, int work_ms) {
  replicas_.push_back(
      std::make_unique<Replica>(this, id, service, slots, work_ms));
  Register(*replicas_.back());
  return replicas_.back().get();
}

void Testbed::StartDaemon(int i) {
  Daemon& daemon = daemons_[static_cast<std::size_t>(i)];
  if (daemon.pid > 0) {
    throw std::runtime_error("the daemon runs already");
  }
  const std::string log = fmt::format("{}/{}.log", folder_, daemon.name);
  const pid_t pid = fork();
  if (pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("HORNBEAMCLEAT_CONFIG", daemon.settings.c_str(), 1);
    setenv("HORNBEAMCLEAT_LOG", "info", 1);
    execl(kProgram, kProgram, nullptr);
    _exit(127);
  }
  daemon.pid = pid;
  Note(fmt::format("{} started", daemon.name));
}

void Testbed::KillDaemon(int i) {
  Daemon& daemon = daemons_[static_cast<std::size_t>(i)];
  if (daemon.pid > 0) {
    kill(daemon.pid, SIGKILL);
    waitpid(daemon.pid, nullptr, 0);
    daemon.pid = -1;
    Note(fmt::format("{} killed", daemon.name));
  }
}

bool Testbed::IsReady(int i) {
  Client client(this, daemons_[static_cast<std::size_t>(i)].ready);
  return client
             .Ask(
                 "GET /-/ready HTTP/1.1\r\nHost: ready\r\n"
                 "Connection: close\r\n\r\n",
                 kReadyTimeoutMs)
             .status == 200;
}

void Testbed::TerminateDaemon(int i) {
  const Daemon& daemon = daemons_[static_cast<std::size_t>(i)];
  Note(fmt::format("{} gets SIGTERM", daemon.name));
  kill(daemon.pid, SIGTERM);
}

bool Testbed::AwaitReady(int timeout_ms) {
  const double end = NowMs() + timeout_ms;
  for (int i = 0; i < Daemons(); ++i) {
    while (daemons_[static_cast<std::size_t>(i)].pid > 0 && !IsReady(i)) {
      if (NowMs() > end) {
        return false;
      }
      Sleep(kReadyPollMs);
    }
  }
  Note("all daemons are ready");
  return true;
}

std::size_t Testbed::AddRun(const Run& run) {
  Note(fmt::format("replica {}: runs {} tenant={}", run.replica, run.id,
                   run.tenant));
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_.push_back(run);
  return runs_.size() - 1;
}

void Testbed::AddCrash(const std::string& replica) {
  Note(fmt::format("replica {} crashes", replica));
  const std::lock_guard<std::mutex> lock(mutex_);
  crashes_ms_.push_back(NowMs());
}

std::vector<double> Testbed::Crashes() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return crashes_ms_;
}

void Testbed::CompleteRun(std::size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[index].is_complete = true;
}

std::vector<Run> Testbed::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

bool IsCalm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

int RunCase(int argc, char** argv, int daemons, int added,
            const std::function<int(Testbed*)>& work) {
  constexpr int kBroken = 1;
  constexpr int kNotRun = 2;
  if (argc != 2) {
    fmt::print(stderr, "usage: {} RECORD\n", argv[0]);
    return kNotRun;
  }
  try {
    Testbed bed(argv[1], daemons);
    bed.Note(IsCalm() ? "TROUBLE=0: without the disruption"
                      : "with the disruption");
    for (int i = 0; i < daemons - added; ++i) {
      bed.StartDaemon(i);
    }
    const int result = work(&bed);
    bed.Note(result == 0         ? "the rule held"
             : result == kBroken ? "THE RULE WAS BROKEN"
                                 : "the case could not run");
    fmt::print("{}\n", result == 0         ? "held"
                       : result == kBroken ? "broken"
                                           : "could not run");
    return result;
  } catch (const std::exception& e) {
    fmt::print(stderr, "{}\n", e.what());
    return kNotRun;
  }
}

}  // namespace hornbeamcleat::review
