#include "tests/soak/soak_world.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/socket_address.h"
#include "src/relay/http_writer.h"
#include "tests/soak/limit_judge.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTurn = milliseconds(5);
constexpr Duration kStartTime = milliseconds(1'500);
constexpr Duration kCalmTime = milliseconds(5'000);
constexpr Duration kFaultGap = milliseconds(250);
/// Longest life of a key that was taken away, as in the settings.
constexpr Duration kKeyLimit = milliseconds(2'000);
/// Time from a caller's send to the target on a busy machine.
constexpr Duration kKeySlack = milliseconds(200);
constexpr Duration kGrace = milliseconds(4'000);
constexpr Duration kPatience = milliseconds(3'000);
constexpr int kPlaces = 6;
/// Events of a stream.
constexpr int kEvents = 5;
/// Content that crashes each target that runs it, and the requests that may
/// still reach targets once all VMs must know of three crashes.
constexpr char kCrashingBody[] = "crash";
constexpr int kMaxSendsAfterCrashes = 3;
constexpr Duration kCrashesKnownAfter = milliseconds(1'000);
/// Part of prompts that crashes each target, in requests that differ otherwise.
constexpr char kCrashingPart[] = "bad";
constexpr int kCrashesOfPart = 5;
constexpr Duration kPartKnownAfter = milliseconds(3'000);
/// Parts that sound requests share with those.
constexpr int kSoundParts = 4;
/// A target that has said that it leaves gets no request that was sent later
/// than this afterwards, and ends a while later.
constexpr Duration kLeavingTime = milliseconds(2'000);
constexpr Duration kLeavingEndsAfter = milliseconds(4'000);
/// A target that asks for rest may get this many requests of a VM between
/// kRestBegins and the end of that time.
constexpr Duration kRestBegins = milliseconds(500);
constexpr int kMaxSendsInRest = 2;
constexpr Duration kRestTime = milliseconds(1'800);
/// Time until what a store has lost is written again.
constexpr Duration kRewriteTime = milliseconds(300);
/// For so long a target refuses all requests.
constexpr Duration kRefusingTime = milliseconds(900);
/// Time until a crashed target is back.
constexpr Duration kRestartTime = milliseconds(400);
/// Share of answers during the calm end that must be successes.
constexpr double kRecovered = 0.8;

// Below the ports that the kernel gives to outgoing connections, in a range of
// this process, so that runs side by side don't take each other's ports while a
// daemon is down.
int FreePort(int type) {
  constexpr int kFirstPort = 20'000;
  constexpr int kRanges = 40;
  constexpr int kPortsPerRange = 300;
  static int next = 0;
  for (int i = 0; i < kPortsPerRange; ++i) {
    const int port = kFirstPort + getpid() % kRanges * kPortsPerRange +
                     next++ % kPortsPerRange;
    const FileDescriptor fd(socket(AF_INET, type, 0));
    const sockaddr_in address =
        ToSocketAddress({"127.0.0.1", static_cast<std::uint16_t>(port)});
    if (bind(fd.Get(), reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
      return port;
    }
  }
  throw Error("find port", "", "no port is free");
}

std::string BodyFor(const std::string& id) { return "answer to " + id; }

std::string FormatEvent(const std::string& id, int number) {
  return fmt::format("id: {}\ndata: {} {}\n\n", number, id, number);
}

}  // namespace

struct SoakWorld::Vm {
  std::string name;
  Address front;
  Address directory;
  std::string settings;  ///< path
  pid_t pid = -1;
  bool is_stopped = false;
  Time stopped_at;
  Time term_at;
  bool is_terminating = false;
  /// Latest start, stop or freeze, which excuse it of what it was told before.
  Time disturbed_at;
};

struct SoakWorld::Target {
  std::string id;
  std::unique_ptr<Listener> listener;
  std::unique_ptr<LoopbackProxy> proxy;
  bool breaks_off = false;
  bool is_leaving = false;  ///< says so in its answers only
  Time refuses_until;       ///< and asks for rest
  /// Latest fault of its links, which hold requests up.
  Time disturbed_at;
  std::map<int, Statements> statements;  ///< by VM
  LimitJudge limit;
};

struct SoakWorld::Caller {
  int number = 0;
  std::unique_ptr<ByteStream> stream;
  std::unique_ptr<HttpParser> parser;
  std::string id;
  std::string kind;
  bool is_waiting = false;
  int vm = 0;
  int turn = 0;  ///< only the latest planned request is sent
};

/// One request at work at a target; answers after a while.
class SoakWorld::TargetWork : public RequestHandler {
 public:
  TargetWork(SoakWorld* world, Duration work, std::function<void()> answer)
      : timer_(world->loop_->Timers()->At(
            world->clock_->Now() + work,
            [answer = std::move(answer)](Time) { answer(); })) {}
  void OnFlushed() override {}

 private:
  std::unique_ptr<TimerService::Subscription> timer_;
};

SoakWorld::SoakWorld(const Options& options)
    : options_(options),
      random_(options.seed),
      clock_(Clock::Make()),
      loop_(PollLoop::Make(clock_.get())),
      store_(std::make_unique<platform::FakeStore>(loop_.get(), clock_.get())),
      part_random_(options.seed),
      statement_random_(options.seed),
      limit_random_(options.seed) {
  char folder[] = "/tmp/hornbeamcleat-soak-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    throw Error("make folder", folder, "the folder can't be made");
  }
  folder_ = folder;
  PutConfig();
  for (int i = 0; i < options_.targets; ++i) {
    targets_.push_back(std::make_unique<Target>());
    Target* target = targets_.back().get();
    CallerConnection::Delegate owner;
    owner.options = [] {
      CallerConnection::Options connection;
      connection.user_timeout = std::chrono::seconds(30);
      return connection;
    };
    owner.is_draining = [] { return false; };
    owner.may_buffer = [](std::size_t) { return true; };
    owner.on_rejected = [this](std::string_view reason) {
      Violate(
          fmt::format("a target got bytes that are no request: {}", reason));
    };
    owner.on_response_cut = [](std::size_t) {};
    owner.handle = [this, target](CallerRequest request, ResponseSink* sink) {
      return Serve(target, std::move(request), sink);
    };
    target->listener = std::make_unique<Listener>(
        loop_.get(), clock_.get(), Address{"127.0.0.1", 0}, 500, owner);
    target->proxy = std::make_unique<LoopbackProxy>(loop_.get(), clock_.get(),
                                                    target->listener->Bound());
    Replace(target);
  }
  for (int i = 0; i < options_.vms; ++i) {
    vms_.push_back(std::make_unique<Vm>());
    Vm* vm = vms_.back().get();
    vm->name = fmt::format("vm{}", i);
    vm->front = {"127.0.0.1",
                 static_cast<std::uint16_t>(FreePort(SOCK_STREAM))};
    vm->directory = {"127.0.0.1",
                     static_cast<std::uint16_t>(FreePort(SOCK_STREAM))};
    vm->settings = fmt::format("{}/{}.ini", folder_, vm->name);
    std::ofstream(vm->settings) << fmt::format(
        "[vm]\nname = {}\nfailure_domain = d{}\nlisten_front = {}\n"
        "listen_ready = 127.0.0.1:{}\nlisten_directory = {}\n"
        "link = 127.0.0.1:{}\nlisten_metrics = 127.0.0.1:{}\n"
        "[store]\naddress = {}\n[callers]\ngrace = {}ms\n"
        "[keys]\nlimit = {}ms\n",
        vm->name, i % 2, vm->front.ToString(), FreePort(SOCK_STREAM),
        vm->directory.ToString(), FreePort(SOCK_DGRAM), FreePort(SOCK_STREAM),
        store_->Bound().ToString(), kGrace / milliseconds(1),
        kKeyLimit / milliseconds(1));
    StartVm(vm);
  }
  for (int i = 0; i < options_.callers; ++i) {
    callers_.push_back(std::make_unique<Caller>());
    callers_.back()->number = i;
  }
}

SoakWorld::~SoakWorld() {
  for (const std::unique_ptr<Vm>& vm : vms_) {
    if (vm->pid > 0) {
      kill(vm->pid, SIGCONT);
      kill(vm->pid, SIGKILL);
      waitpid(vm->pid, nullptr, 0);
    }
  }
  callers_.clear();
}

void SoakWorld::StartVm(Vm* vm) {
  const std::string program =
      std::string(HORNBEAMCLEAT_BINARY_DIR) + "/hornbeamcleatd";
  const std::string log = fmt::format("{}/{}.log", folder_, vm->name);
  const pid_t pid = fork();
  if (pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), "--settings", vm->settings.c_str(),
          nullptr);
    _exit(127);
  }
  vm->pid = pid;
  vm->is_stopped = false;
  vm->is_terminating = false;
  vm->disturbed_at = clock_->Now();
}

// Ended daemons start anew, as the platform does it.
void SoakWorld::ReapVms() {
  for (const std::unique_ptr<Vm>& vm : vms_) {
    int status = 0;
    if (vm->pid > 0 && waitpid(vm->pid, &status, WNOHANG) == vm->pid) {
      const bool was_killed = WIFSIGNALED(status);
      if (was_killed && WTERMSIG(status) != SIGKILL) {
        Violate(
            fmt::format("{} died of signal {}", vm->name, WTERMSIG(status)));
      } else if (!was_killed && !vm->is_terminating) {
        Violate(fmt::format("{} ended by itself", vm->name));
      }
      StartVm(vm.get());
    } else if (vm->is_terminating && !vm->is_stopped &&
               clock_->Now() - vm->term_at > kGrace + milliseconds(500)) {
      Violate(fmt::format("{} outlived its grace time", vm->name));
      vm->term_at = clock_->Now();
    }
  }
}

void SoakWorld::PutConfig() {
  ++config_version_;
  RewriteConfig();
}

void SoakWorld::RewriteConfig() {
  const auto route = [](const char* kind, const char* type, bool resumes) {
    return fmt::format(
        R"({{"name":"{}","hostname":"h","path_prefix":"/{}/",)"
        R"("route_type":"{}","timeout_ms":3000,"target_latency_ms":500,)"
        R"("max_attempts":2,"resumable":{},"service":"s"}})",
        kind, kind, type, resumes);
  };
  store_->Put(
      "keyed.op", "config",
      fmt::format(R"({{"version":{},"routes":[{},{},{},{}],"services":[)"
                  R"({{"name":"s"}}],"tenants":[{{"name":"a","api_keys":)"
                  R"(["ka"]}},{{"name":"b","api_keys":[{}]}}]}})",
                  config_version_, route("safe", "idempotent", false),
                  route("unsafe", "non_idempotent", false),
                  route("resume", "streaming", true),
                  route("stream", "streaming", false),
                  is_key_removed_ ? "" : R"("kb")"));
}

void SoakWorld::PutTarget(const Target& target, bool is_leaving) {
  store_->Put("keyed.servers", target.id,
              fmt::format(R"({{"service":"s","address":"{}","zone":"d0",)"
                          R"("slots":{},"state":"{}"}})",
                          target.proxy->Bound().ToString(), kPlaces,
                          is_leaving ? "draining" : "ready"));
}

void SoakWorld::RestoreStore() {
  store_->Restore();
  After(kRewriteTime, [this] {
    RewriteConfig();
    for (const std::string& id : ended_ids_) {
      store_->Put("keyed.servers", id, "");
    }
    for (const std::unique_ptr<Target>& target : targets_) {
      if (!target->id.empty()) {
        PutTarget(*target, false);
      }
    }
  });
}

// A new incarnation at the address of the old one.
void SoakWorld::Replace(Target* target) {
  if (!target->id.empty()) {
    ended_ids_.push_back(target->id);
    store_->Put("keyed.servers", target->id, "");
  }
  // Each second one answers without chunks or a length, unless one is given.
  target->proxy->SetHttp10(next_target_id_ % 2 == 0);
  target->id = fmt::format("t{}", next_target_id_++);
  target->is_leaving = false;
  target->refuses_until = Time();
  target->statements.clear();
  target->limit = LimitJudge();
  PutTarget(*target, false);
}

std::unique_ptr<RequestHandler> SoakWorld::Serve(Target* target,
                                                 CallerRequest request,
                                                 ResponseSink* sink) {
  const auto header = [&request](const char* name) {
    const std::string* value = FindHeader(request.head.headers, name);
    return value == nullptr ? std::string() : *value;
  };
  const std::string id = header("Request-Id");
  if (header("Expected-Instance") != target->id) {
    sink->SendResponse(421, "", {{"Request-Id", id}}, "");
    return std::make_unique<TargetWork>(this, Duration(0), [] {});
  }
  CheckStatements(target, id);
  const Time now = clock_->Now();
  Statements& statements = target->statements[vm_of_[id]];
  if (now < target->refuses_until) {
    statements.rests.push_back({now, now + kRestTime, 0});
    HeaderList headers = {
        {"Request-Id", id},
        {"Not-Executed", "1"},
        {"Retry-After", fmt::format("{:.1f}", ToSeconds(kRestTime))}};
    if (target->limit.Limit().has_value()) {
      headers.push_back(
          {"Server-Limit", fmt::format("{:.2f}", *target->limit.Limit())});
      target->limit.OnTold(vm_of_[id], now + kKeySlack);
    }
    sink->SendResponse(503, "", headers, "");
    return std::make_unique<TargetWork>(this, Duration(0), [] {});
  }
  const bool is_stream = request.head.target.starts_with("/stream/");
  const bool is_unsafe =
      is_stream || request.head.target.starts_with("/unsafe/");
  if (++runs_[id] > 1 && is_unsafe) {
    Violate("ran twice: " + id);
  }
  if (disowned_.contains(id) && is_unsafe) {
    Violate("ran after it was answered as not run: " + id);
  }
  if (header("Tenant-Id") == "b" && is_key_removed_ &&
      sent_[id] > key_removed_ + kKeyLimit + kKeySlack) {
    Violate("ran with a key that was taken away: " + id);
  }
  if (!header("Api-Key").empty()) {
    Violate("a key was passed on: " + id);
  }
  HeaderList signed_by = {{"Request-Id", id}, {"Upstream-Signature", "sig"}};
  if (request.body == kCrashingBody) {
    return ServeCrashing(target, request.head.target, signed_by, sink);
  }
  if (header("Prefix-Hash").find(kCrashingPart) != std::string::npos) {
    return ServeCrashing(target, kCrashingPart, signed_by, sink);
  }
  const Duration work = milliseconds(2 + Pick(60));
  const bool is_broken = target->breaks_off && Pick(3) == 0;
  if (target->is_leaving) {
    signed_by.push_back({"Server-Leaving", "1"});
    if (!is_broken && !statements.leaving_told.has_value()) {
      statements.leaving_told = now + work + kKeySlack;
    }
  }
  if (target->limit.Limit().has_value()) {
    signed_by.push_back(
        {"Server-Limit", fmt::format("{:.2f}", *target->limit.Limit())});
    if (!is_broken) {
      target->limit.OnTold(vm_of_[id], now + work + kKeySlack);
    }
  }
  if (is_stream || request.head.target.starts_with("/resume/")) {
    const std::string after = header("Last-Event-Id");
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    // The event inside which a broken stream ends.
    const int cut = std::min(first + Pick(3), kEvents);
    const bool is_reset = Pick(3) == 0;
    return std::make_unique<TargetWork>(this, work, [=] {
      sink->BeginBody(200, "", signed_by, std::nullopt);
      for (int i = first; i <= (is_broken ? cut - 1 : kEvents); ++i) {
        sink->SendBody(FormatEvent(id, i));
      }
      if (is_broken) {
        const std::string event = FormatEvent(id, cut);
        sink->SendBody(event.substr(0, event.size() - 2));
        if (is_reset) {
          sink->Abort();
          return;
        }
      }
      sink->EndBody();
    });
  }
  if (is_broken) {
    return std::make_unique<TargetWork>(this, work, [sink] { sink->Abort(); });
  }
  return std::make_unique<TargetWork>(
      this, work, [=] { sink->SendResponse(200, "", signed_by, BodyFor(id)); });
}

void SoakWorld::CheckStatements(Target* target, const std::string& id) {
  const int number = vm_of_[id];
  const Time now = clock_->Now();
  const Time calm_since =
      std::max(vms_[static_cast<std::size_t>(number)]->disturbed_at,
               target->disturbed_at);
  if (target->limit.OnRequest(
          number, vms_[static_cast<std::size_t>(number)]->disturbed_at,
          target->disturbed_at, now)) {
    Violate(fmt::format("{} got more requests than its limit of {:.2f}",
                        target->id, *target->limit.Limit()));
  }
  Statements& statements = target->statements[number];
  if (statements.leaving_told.has_value() &&
      *statements.leaving_told > calm_since &&
      sent_[id] > *statements.leaving_told + kLeavingTime) {
    Violate(fmt::format("{} reached {}, which had told vm{} that it leaves", id,
                        target->id, number));
  }
  for (Statements::Rest& rest : statements.rests) {
    if (rest.asked > calm_since && now > rest.asked + kRestBegins &&
        now < rest.ends && ++rest.sends == kMaxSendsInRest + 1) {
      Violate(fmt::format("{} reached {}, which had asked vm{} for rest", id,
                          target->id, number));
    }
  }
}

void SoakWorld::StateLimits() {
  const auto pick = [this](int n) {
    return static_cast<int>(limit_random_() % static_cast<std::uint64_t>(n));
  };
  Target* target =
      targets_[static_cast<std::size_t>(pick(options_.targets))].get();
  const auto limited = std::count_if(targets_.begin(), targets_.end(),
                                     [](const std::unique_ptr<Target>& other) {
                                       return other->limit.Limit().has_value();
                                     });
  // Half of them can serve all callers at the end.
  if (!target->id.empty() && !target->limit.Limit().has_value() &&
      2 * limited < options_.targets) {
    StateLimit(target);
  }
  After(milliseconds(1'000 + pick(2'000)), [this] { StateLimits(); });
}

void SoakWorld::StateLimit(Target* target) {
  ChangeLimit(target, target->id, 1 + static_cast<int>(limit_random_() % 3));
}

// Stays long enough for the rule to bind; falls or rises now and then.
void SoakWorld::ChangeLimit(Target* target, const std::string& id,
                            int changes) {
  constexpr double kLimits[] = {0, 0.4, 1.5, 2.4, 8, 30};
  if (target->id != id) {
    return;
  }
  if (changes < 0) {
    Fault(id + " states no limit any more");
    target->limit.SetLimit(std::nullopt, clock_->Now());
    return;
  }
  const double per_second = kLimits[limit_random_() % std::size(kLimits)];
  Fault(fmt::format("{} states a limit of {:.1f}", id, per_second));
  target->limit.SetLimit(per_second, clock_->Now());
  After(milliseconds(2'000 + static_cast<int>(limit_random_() % 3'000)),
        [this, target, id, changes] { ChangeLimit(target, id, changes - 1); });
}

void SoakWorld::StateSomething() {
  if (!is_striking_) {
    return;
  }
  const auto pick = [this](int n) {
    return static_cast<int>(statement_random_() %
                            static_cast<std::uint64_t>(n));
  };
  Target* target =
      targets_[static_cast<std::size_t>(pick(options_.targets))].get();
  const std::string id = target->id;
  const int kind = pick(5);
  if (kind == 0) {
    Fault("store comes back from a copy");
    RestoreStore();
  } else if (id.empty() || target->is_leaving) {
    // Crashed, or leaves already.
  } else if (kind < 3) {
    Fault(id + " leaves by its answers");
    target->is_leaving = true;
    After(kLeavingEndsAfter, [this, target, id] {
      if (target->id == id) {
        Replace(target);
      }
    });
  } else {
    Fault(id + " asks for rest");
    target->refuses_until = clock_->Now() + kRefusingTime;
  }
  if (kind > 2) {
    ended_ids_.clear();
    store_->Copy();
  }
  After(milliseconds(400 + pick(400)), [this] { StateSomething(); });
}

std::unique_ptr<RequestHandler> SoakWorld::ServeCrashing(
    Target* target, const std::string& cause, const HeaderList& headers,
    ResponseSink* sink) {
  CrashCause& crashing = crashing_[cause];
  const Duration known_after =
      cause == kCrashingPart ? kPartKnownAfter : kCrashesKnownAfter;
  if (crashing.limit_reached_at.has_value() &&
      clock_->Now() > *crashing.limit_reached_at + known_after &&
      ++crashing.sends_after == kMaxSendsAfterCrashes + 1) {
    Violate(fmt::format("{} was sent again after {} crashes", cause,
                        crashing.crashes));
  }
  const int stage = Pick(3);
  return std::make_unique<TargetWork>(
      this, milliseconds(2 + Pick(30)), [=, this] {
        if (stage > 0) {
          sink->BeginBody(200, "", headers, std::nullopt);
        }
        if (stage > 1) {
          sink->SendBody("id: 1\ndata: a\n\nid: 2\nda");
        }
        // The bytes pass the proxy before the target ends.
        After(milliseconds(5), [this, target, cause, id = target->id] {
          if (target->id == id) {
            Crash(target, cause);
          }
        });
      });
}

void SoakWorld::Crash(Target* target, const std::string& cause) {
  Fault(fmt::format("{} crashes of {}", target->id, cause));
  CrashCause& crashing = crashing_[cause];
  const int limit = cause == kCrashingPart ? kCrashesOfPart : 3;
  if (++crashing.crashes == limit) {
    crashing.limit_reached_at = clock_->Now();
  }
  target->proxy->ResetAll();
  target->proxy->SetMode(LoopbackProxy::Mode::kRefuse);
  const std::string old_id = std::exchange(target->id, "");
  After(kRestartTime, [this, target, old_id] {
    target->proxy->SetMode(LoopbackProxy::Mode::kPass);
    ended_ids_.push_back(old_id);
    store_->Put("keyed.servers", old_id, "");
    Replace(target);
  });
}

void SoakWorld::AskCrashing() {
  if (crashing_caller_ != nullptr) {
    crashing_caller_->Abort();
  }
  static const char* const kinds[] = {"safe", "unsafe", "resume", "stream"};
  const int number = Pick(options_.vms);
  const Vm& vm = *vms_[static_cast<std::size_t>(number)];
  try {
    crashing_caller_ =
        ByteStream::Connect(loop_.get(), vm.front, std::chrono::seconds(10));
    const std::string id = fmt::format("c{}", next_request_++);
    sent_[id] = clock_->Now();
    vm_of_[id] = number;
    crashing_caller_->Write(
        FormatRequest("POST", fmt::format("/{}/x", kinds[Pick(4)]),
                      {{"Host", "h"}, {"Request-Id", id}, {"Api-Key", "ka"}},
                      kCrashingBody, true));
  } catch (const Error&) {
    Fault(vm.name + " unreached");
  }
  After(milliseconds(80 + Pick(80)), [this] { AskCrashing(); });
}

void SoakWorld::AskCrashingPart() {
  if (!is_striking_) {
    return;
  }
  static const char* const kinds[] = {"safe", "unsafe", "resume", "stream"};
  const auto pick = [this](int n) {
    return static_cast<int>(part_random_() % static_cast<std::uint64_t>(n));
  };
  const int number = pick(options_.vms);
  const Vm& vm = *vms_[static_cast<std::size_t>(number)];
  try {
    part_caller_ =
        ByteStream::Connect(loop_.get(), vm.front, std::chrono::seconds(10));
    const std::string id = fmt::format("p{}", next_part_request_++);
    sent_[id] = clock_->Now();
    vm_of_[id] = number;
    part_caller_->Write(FormatRequest(
        "POST", fmt::format("/{}/x", kinds[pick(4)]),
        {{"Host", "h"},
         {"Request-Id", id},
         {"Api-Key", "ka"},
         {"Prefix-Hash",
          fmt::format("first:60,{}:300,{}:20", kCrashingPart, id)}},
        "request " + id, true));
  } catch (const Error&) {
    Fault(vm.name + " unreached");
  }
  After(milliseconds(80 + pick(80)), [this] { AskCrashingPart(); });
}

void SoakWorld::Run() {
  RunFor(kStartTime);
  AskCrashing();
  for (const std::unique_ptr<Caller>& caller : callers_) {
    Ask(caller.get());
  }
  is_striking_ = true;
  After(kCrashesKnownAfter, [this] { AskCrashingPart(); });
  store_->Copy();
  StateSomething();
  StateLimits();
  const Time end = clock_->Now() + options_.faults_for;
  while (clock_->Now() < end) {
    Strike();
    RunFor(kFaultGap + milliseconds(Pick(200)));
  }
  EndFaults();
  // What was broken has time to end; then nearly all must be served.
  RunFor(kCalmTime);
  const int asked = asked_;
  const int served = served_;
  statuses_.clear();
  RunFor(milliseconds(1'500));
  if (served_ - served < kRecovered * (asked_ - asked) ||
      asked_ - asked < options_.callers) {
    std::string statuses;
    for (const auto& [status, n] : statuses_) {
      statuses += fmt::format(" {}:{}", status, n);
    }
    Violate(fmt::format("after the faults {} of {} were served;{}",
                        served_ - served, asked_ - asked, statuses));
  }
}

void SoakWorld::Strike() {
  switch (Pick(3)) {
    case 0:
      StrikeVm();
      break;
    case 1:
      StrikeTarget();
      break;
    default:
      StrikeStore();
      break;
  }
}

void SoakWorld::StrikeVm() {
  Vm* vm = vms_[static_cast<std::size_t>(Pick(options_.vms))].get();
  vm->disturbed_at = clock_->Now();
  switch (Pick(4)) {
    case 0:
      Fault(vm->name + " killed");
      kill(vm->pid, SIGKILL);
      break;
    case 1: {
      Fault(vm->name + " stands still");
      const pid_t pid = vm->pid;
      vm->is_stopped = true;
      vm->stopped_at = clock_->Now();
      kill(pid, SIGSTOP);
      After(milliseconds(200 + Pick(1'500)), [this, vm, pid] {
        if (vm->pid == pid) {
          Continue(vm);
        }
      });
      break;
    }
    case 2:
      Fault(vm->name + " told to stop");
      vm->is_terminating = true;
      vm->term_at = clock_->Now();
      kill(vm->pid, SIGTERM);
      break;
    default:
      Fault(vm->name + " told to reload");
      kill(vm->pid, SIGHUP);
      break;
  }
}

void SoakWorld::StrikeTarget() {
  Target* target =
      targets_[static_cast<std::size_t>(Pick(options_.targets))].get();
  const auto heal = [this, target] {
    After(milliseconds(200 + Pick(800)), [this, target] {
      target->proxy->SetMode(LoopbackProxy::Mode::kPass);
      target->breaks_off = false;
      target->disturbed_at = clock_->Now();
    });
  };
  target->disturbed_at = clock_->Now();
  switch (Pick(6)) {
    case 0:
      Fault(target->id + " reset");
      target->proxy->ResetAll();
      break;
    case 1:
      Fault(target->id + " delayed");
      target->proxy->SetMode(LoopbackProxy::Mode::kDelay);
      heal();
      break;
    case 2:
      Fault(target->id + " silent");
      target->proxy->SetMode(LoopbackProxy::Mode::kSilent);
      heal();
      break;
    case 3:
      Fault(target->id + " cut one way");
      target->proxy->SetMode(LoopbackProxy::Mode::kOneWay);
      heal();
      break;
    case 4:
      Fault(target->id + " breaks off");
      target->breaks_off = true;
      heal();
      break;
    default:
      Fault(target->id + " replaced");
      PutTarget(*target, true);
      Replace(target);
      break;
  }
}

void SoakWorld::StrikeStore() {
  using Kind = platform::FakeStore::Fault;
  const Kind kinds[] = {Kind::kBusy, Kind::kSilent, Kind::kDropsWriteResponses};
  switch (Pick(4)) {
    case 0:
      Fault("configuration changes");
      PutConfig();
      break;
    case 1:
      Fault("store forgets its history");
      store_->Compact();
      break;
    case 2:
      if (!is_key_removed_) {
        Fault("key taken away");
        is_key_removed_ = true;
        key_removed_ = clock_->Now();
        PutConfig();
        break;
      }
      [[fallthrough]];
    default:
      Fault("store fails");
      store_->SetFault(kinds[Pick(3)]);
      After(milliseconds(300 + Pick(1'200)),
            [this] { store_->SetFault(Kind::kNone); });
      break;
  }
}

void SoakWorld::EndFaults() {
  is_striking_ = false;
  store_->SetFault(platform::FakeStore::Fault::kNone);
  for (const std::unique_ptr<Target>& target : targets_) {
    target->proxy->SetMode(LoopbackProxy::Mode::kPass);
    target->breaks_off = false;
    target->disturbed_at = clock_->Now();
  }
  for (const std::unique_ptr<Vm>& vm : vms_) {
    Continue(vm.get());
  }
}

// The time that a VM stood still is no part of its grace time.
void SoakWorld::Continue(Vm* vm) {
  vm->disturbed_at = clock_->Now();
  if (vm->is_stopped) {
    vm->is_stopped = false;
    vm->term_at += clock_->Now() - std::max(vm->stopped_at, vm->term_at);
  }
  kill(vm->pid, SIGCONT);
}

void SoakWorld::AskAfter(Caller* caller, Duration pause) {
  const int turn = ++caller->turn;
  After(pause, [this, caller, turn] {
    if (caller->turn == turn) {
      Ask(caller);
    }
  });
}

void SoakWorld::Ask(Caller* caller) {
  static const char* const kinds[] = {"safe", "unsafe", "resume", "stream"};
  caller->kind = kinds[Pick(4)];
  caller->id = fmt::format("r{}", next_request_++);
  caller->parser = HttpParser::ForResponse({65'536, 1'048'576}, false);
  caller->is_waiting = true;
  if (caller->stream == nullptr) {
    caller->vm = Pick(options_.vms);
    try {
      caller->stream = ByteStream::Connect(
          loop_.get(), vms_[static_cast<std::size_t>(caller->vm)]->front,
          std::chrono::seconds(10));
    } catch (const Error&) {
      AskAfter(caller, milliseconds(100));
      return;
    }
    ByteStream::Callbacks callbacks;
    callbacks.on_bytes = [this, caller](std::string_view bytes) {
      caller->parser->Feed(bytes);
      OnAnswer(caller);
    };
    callbacks.on_end = [this, caller](StreamEnd) { OnCallerEnd(caller); };
    caller->stream->SetCallbacks(std::move(callbacks));
  }
  ++asked_;
  sent_[caller->id] = clock_->Now();
  vm_of_[caller->id] = caller->vm;
  // The second workspace loses its key; its callers come back to the first.
  const bool uses_b = caller->number % 4 == 0 && !is_key_removed_;
  const bool still_b = caller->number % 4 == 0 && is_striking_;
  caller->stream->Write(FormatRequest(
      "POST", "/" + caller->kind + "/x",
      {{"Host", "h"},
       {"Request-Id", caller->id},
       {"Prefix-Hash", fmt::format("first:60,doc{}:300,{}:20",
                                   caller->number % kSoundParts, caller->id)},
       {"Api-Key", uses_b || still_b ? "kb" : "ka"},
       {"Deadline-Ms", fmt::format("{}", kPatience / milliseconds(1))}},
      "body", true));
  const std::string id = caller->id;
  After(kPatience + milliseconds(500), [this, caller, id] {
    if (caller->is_waiting && caller->id == id) {
      OnCallerEnd(caller);
    }
  });
}

void SoakWorld::OnAnswer(Caller* caller) {
  if (!caller->is_waiting) {
    Violate("bytes with no request waiting after " + caller->id);
    return;
  }
  if (caller->parser->Error() != ParseError::kNone) {
    Violate("bytes that are no answer to " + caller->id);
    OnCallerEnd(caller);
    return;
  }
  if (!caller->parser->Done()) {
    return;
  }
  const MessageHead head = caller->parser->Head();
  CheckAnswer(caller, head.status, *caller->parser->Body());
  caller->is_waiting = false;
  if (!head.keep_alive) {
    OnCallerEnd(caller);
    return;
  }
  AskAfter(caller, milliseconds(5 + Pick(30)));
}

void SoakWorld::CheckAnswer(Caller* caller, int status,
                            const std::string& body) {
  const std::string& id = caller->id;
  ++statuses_[status];
  if (status == 200) {
    std::string expected = BodyFor(id);
    if (caller->kind == "resume" || caller->kind == "stream") {
      expected.clear();
      for (int i = 1; i <= kEvents; ++i) {
        expected += FormatEvent(id, i);
      }
    }
    if (body != expected) {
      Violate("not the whole answer of " + id + ": " + body);
    }
    ++served_;
  } else if (status == 429 || status == 503 || status == 408) {
    disowned_.insert(id);
    const bool may_repeat = caller->kind == "safe" || caller->kind == "resume";
    if (!may_repeat && runs_[id] > 0) {
      Violate("answered as not run, but it ran: " + id);
    }
  }
}

void SoakWorld::OnCallerEnd(Caller* caller) {
  if (caller->stream == nullptr) {
    return;
  }
  const std::shared_ptr<ByteStream> dead = std::move(caller->stream);
  dead->SetCallbacks({});
  dead->Abort();
  loop_->Post([dead] {});
  caller->is_waiting = false;
  AskAfter(caller, milliseconds(20 + Pick(50)));
}

void SoakWorld::RunFor(Duration time) {
  const Time end = clock_->Now() + time;
  while (clock_->Now() < end) {
    loop_->RunOnce(kTurn);
    ReapVms();
  }
}

int SoakWorld::Pick(int n) {
  return static_cast<int>(random_() % static_cast<std::uint64_t>(n));
}

void SoakWorld::Fault(const std::string& what) { faults_.push_back(what); }

void SoakWorld::Violate(const std::string& what) {
  violations_.push_back(what);
}

void SoakWorld::After(Duration pause, std::function<void()> work) {
  timers_.push_back(loop_->Timers()->At(
      clock_->Now() + pause, [work = std::move(work)](Time) { work(); }));
}

}  // namespace hornbeamcleat
