#include "review/move-3.h"

#include <cstdio>
#include <exception>
#include <random>
#include <thread>
#include <utility>

namespace review3 {
namespace {

constexpr int kDaemons = 3;
constexpr double kWarmUpS = 5;
constexpr double kMoveS = 12;  ///< as in the examples of messages
constexpr double kAfterS = 3;

/// From the bounds of the site.
constexpr double kExposureShare = 0.1;
constexpr int kExposureSlack = 50;
constexpr double kRollbackS = 5;
constexpr int kBadAnswers = 50;

constexpr std::size_t kMaxOpen = 600;

}  // namespace

MoveCase::MoveCase(Options options, const std::string& record)
    : options_(std::move(options)), folder_(MakeFolder()), record_(record) {}

std::string MoveCase::Config() const {
  const std::string gap = options_.gap_target_ms == 0
                              ? std::string()
                              : ",\"resumable\":false,\"gap_target_ms\":" +
                                    std::to_string(options_.gap_target_ms);
  return R"({"version":7,"routes":[{"name":"r-take",)"
         R"("hostname":"h.example","path_prefix":"/take/","route_type":")" +
         options_.route_type +
         "\",\"timeout_ms\":" + std::to_string(options_.timeout_ms) +
         ",\"target_latency_ms\":" +
         std::to_string(options_.target_latency_ms) +
         R"(,"priority":2,"service":"desk","max_attempts":1,"public":true,)"
         R"("sticky":false)" +
         gap +
         R"(}],"services":[{"name":"desk","health_path":"/healthz",)"
         R"("max_connections":370,"protocol":"h1","tls":false}],"limits":{)"
         R"("max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

int MoveCase::Run() {
  store_.Put("keyed.op", "config", Config());
  AddReplicas("v1");
  for (int i = 0; i < kDaemons; ++i) {
    daemons_.push_back(std::make_unique<Daemon>(
        folder_, "vm-" + std::to_string(i), store_.Address()));
    daemons_.back()->Start();
  }
  for (const auto& daemon : daemons_) {
    if (!AwaitReady(*daemon, Now() + 10)) {
      record_.Add("a daemon is not ready");
      return 2;
    }
  }
  std::thread clients([this] { Ask(); });
  SleepUntil(Now() + kWarmUpS);
  ordered_ = Now();
  Order("v2");
  AddReplicas("v2");
  if (options_.back_after_s > 0) {
    Follow(ordered_ + options_.back_after_s);
    Order("v1");
  }
  Follow(ordered_ + kMoveS + kAfterS);
  is_stopping_ = true;
  clients.join();
  const int result = Judge();
  daemons_.clear();
  return result;
}

void MoveCase::AddReplicas(const std::string& version) {
  const bool is_new = version == "v2";
  for (int i = 0; i < options_.replicas; ++i) {
    Replica::Spec spec;
    spec.id = "i-" + version + "-" + std::to_string(i);
    spec.service = "desk";
    spec.version = version;
    spec.slots = options_.slots;
    spec.work_ms = options_.work_ms;
    spec.events = options_.events;
    spec.pause_ms = options_.pause_ms;
    spec.on_run = [this, is_new](const Request& request, int running) {
      return OnRun(is_new, request, running);
    };
    replicas_.push_back(std::make_unique<Replica>(&store_, std::move(spec)));
  }
}

Answer MoveCase::OnRun(bool is_new, const Request& request, int running) {
  static std::mt19937 random(11);
  const double now = Now();
  const std::lock_guard<std::mutex> lock(mutex_);
  const Answer answer =
      is_new && WantsTrouble() && now >= ordered_ + options_.bad_after_s
          ? options_.new_answer(
                running, std::uniform_real_distribution<double>(0, 1)(random))
          : Answer();
  const bool is_bad = answer.status != 200 || answer.pause_ms > 0;
  Arrivals& arrivals = is_new ? new_ : old_;
  if (ordered_ > 0 && now <= ordered_ + kMoveS) {
    ++arrivals.in_move;
  }
  if (is_bad && ++arrivals.bad == kBadAnswers) {
    fiftieth_ = now + options_.bad_answer_s;
    record_.Add("v2 begins its 50th bad answer");
  }
  if (is_new && fiftieth_ > 0 &&
      std::stod(Find(request.headers, "X-Sent")) > fiftieth_ + kRollbackS) {
    ++late_;
  }
  record_.Add("run " + Find(request.headers, "Request-Id") + " at " +
              (is_new ? "v2" : "v1") + (is_bad ? " bad" : " good"));
  return answer;
}

void MoveCase::Ask() {
  std::vector<std::thread> open;
  std::vector<std::string> addresses;
  std::mt19937 random(7);
  double next = Now();
  double resolve_at = next;
  for (int n = 0; !is_stopping_; ++n) {
    if (Now() >= resolve_at) {
      resolve_at = Now() + 1;
      const std::vector<std::string> found =
          Resolve(*daemons_[static_cast<std::size_t>(n) % daemons_.size()]);
      addresses = found.empty() ? addresses : found;
    }
    next += 1 / options_.per_second;
    SleepUntil(next);
    if (addresses.empty()) {
      continue;
    }
    const std::string address = addresses[random() % addresses.size()];
    open.emplace_back(
        [this, n, address] { AskOnce("q" + std::to_string(n), address); });
    if (open.size() > kMaxOpen) {
      open.front().join();
      open.erase(open.begin());
    }
  }
  for (std::thread& thread : open) {
    thread.join();
  }
}

void MoveCase::AskOnce(const std::string& id, const std::string& address) {
  record_.Add("send " + id);
  const Response response =
      Call(address,
           {"POST",
            "/take/x",
            {{"Host", "h.example"},
             {"Request-Id", id},
             {"Deadline-Ms", std::to_string(options_.timeout_ms)},
             {"X-Sent", std::to_string(Now())}},
            "take"},
           options_.timeout_ms / 1'000.0, options_.gap_s);
  record_.Add("answer " + id + " " + std::to_string(response.status));
  if (response.status != 200) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++lost_;
  }
}

void MoveCase::Order(const std::string& version) {
  store_.Put("keyed.op", "rollout/desk",
             R"({"service":"desk","target":")" + version +
                 R"(","duration_s":)" +
                 std::to_string(static_cast<int>(kMoveS)) + "}");
  record_.Add("the operator orders the move to " + version);
}

void MoveCase::Follow(double until) {
  std::string state;
  while (Now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::string status = store_.Newest("keyed.status", "rollout/desk");
    if (status == state) {
      continue;
    }
    state = status;
    record_.Add("status " + status);
    if (status.find("completed") != std::string::npos &&
        status.find("\"v2\"") != std::string::npos) {
      for (int i = 0; i < options_.replicas; ++i) {
        replicas_[static_cast<std::size_t>(i)]->Leave();
      }
    }
  }
}

int MoveCase::Judge() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int all = old_.in_move + new_.in_move;
  const double allowed = kExposureShare * all + kExposureSlack;
  record_.Add(
      "v2 got " + std::to_string(new_.in_move) + " of " + std::to_string(all) +
      " requests between the order and its deadline; allowed to a bad "
      "version " +
      std::to_string(allowed) + "; bad answers " + std::to_string(new_.bad) +
      "; sent later than " + std::to_string(kRollbackS) +
      " s after the 50th: " + std::to_string(late_) +
      "; clients without a complete success: " + std::to_string(lost_));
  if (all < 100 || new_.in_move == 0) {
    return 2;
  }
  return new_.bad > 0 && (new_.in_move > allowed || late_ > 0) ? 1 : 0;
}

int RunMoveCase(const MoveCase::Options& options, int argc, char** argv) {
  if (argc != 2) {
    std::fputs("The path of the record is missing.\n", stderr);
    return 2;
  }
  try {
    return MoveCase(options, argv[1]).Run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}

}  // namespace review3
