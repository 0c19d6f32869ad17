// A service's traffic is moved to a new version that fails a part of its
// requests under load. Counts the requests that the new version gets.

#include <atomic>
#include <cstdio>
#include <exception>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/testbed-3.h"

namespace review3 {
namespace {

constexpr int kDaemons = 3;
constexpr int kReplicas = 4;  ///< of each version
constexpr int kSlots = 10;
constexpr int kWorkMs = 80;
constexpr double kPerSecond = 150;
/// A replica of the new version fails this part of the requests that it begins
/// while so many run on it, the new one included.
constexpr double kFailShare = 0.4;
constexpr int kLoaded = 4;
constexpr double kWarmUpS = 5;
constexpr double kMoveS = 12;  ///< as in the examples of messages
constexpr double kDeadlineS = 3;

/// From the bounds of the site.
constexpr double kExposureShare = 0.1;
constexpr int kExposureSlack = 50;
constexpr double kRollbackS = 5;
constexpr int kBadAnswers = 50;

constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"r-take","hostname":"h.example",)"
    R"("path_prefix":"/take/","route_type":"non_idempotent",)"
    R"("timeout_ms":3000,"target_latency_ms":300,"priority":2,)"
    R"("service":"desk","max_attempts":1,"public":true,"sticky":false}],)"
    R"("services":[{"name":"desk","health_path":"/healthz",)"
    R"("max_connections":370,"protocol":"h1","tls":false}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

/// What replicas of one version have been sent.
struct Arrivals {
  int before_order = 0;
  int in_move = 0;  ///< between the order and its deadline
  int after = 0;
  int bad = 0;
};

class Case {
 public:
  explicit Case(const std::string& record) : record_(record) {}

  int Run() {
    store_.Put("keyed.op", "config", kConfig);
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
    std::this_thread::sleep_for(std::chrono::duration<double>(kWarmUpS));
    const double ordered =
        store_.Put("keyed.op", "rollout/desk",
                   R"({"service":"desk","target":"v2","duration_s":)" +
                       std::to_string(static_cast<int>(kMoveS)) + "}");
    ordered_ = ordered;
    record_.Add("the operator orders the move to v2");
    AddReplicas("v2");
    Follow(ordered + kMoveS + 3);
    is_stopping_ = true;
    clients.join();
    const int result = Judge();
    daemons_.clear();
    return result;
  }

 private:
  void AddReplicas(const std::string& version) {
    for (int i = 0; i < kReplicas; ++i) {
      Replica::Spec spec;
      spec.id = "i-" + version + "-" + std::to_string(i);
      spec.service = "desk";
      spec.version = version;
      spec.slots = kSlots;
      spec.work_ms = kWorkMs;
      spec.on_run = [this, version](const Request& request, int running) {
        return OnRun(version, request, running);
      };
      replicas_.push_back(std::make_unique<Replica>(&store_, std::move(spec)));
    }
  }

  bool OnRun(const std::string& version, const Request& request, int running) {
    const double now = Now();
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool is_new = version == "v2";
    bool is_bad = false;
    if (is_new && WantsTrouble()) {
      is_bad = running >= kLoaded && unit_(random_) < kFailShare;
    }
    Arrivals& arrivals = is_new ? new_ : old_;
    if (ordered_ <= 0) {
      ++arrivals.before_order;
    } else if (now <= ordered_ + kMoveS) {
      ++arrivals.in_move;
    } else {
      ++arrivals.after;
    }
    if (is_bad && ++arrivals.bad == kBadAnswers) {
      fiftieth_ = now;
      record_.Add("v2 gives its 50th bad answer");
    }
    const std::string id = Find(request.headers, "Request-Id");
    if (is_new && fiftieth_ > 0 &&
        std::stod(Find(request.headers, "X-Sent")) > fiftieth_ + kRollbackS) {
      ++late_;
    }
    record_.Add("run " + id + " at " + version + (is_bad ? " bad" : " good"));
    return !is_bad;
  }

  // Sends each request on a connection of its own, at an even rate.
  void Ask() {
    std::vector<std::thread> open;
    double next = Now();
    double resolved = -10;
    std::vector<std::string> addresses;
    std::mt19937 random(7);
    for (int n = 0; !is_stopping_; ++n) {
      if (Now() > resolved + 1) {
        resolved = Now();
        const std::vector<std::string> found =
            Resolve(*daemons_[static_cast<std::size_t>(n) % daemons_.size()]);
        addresses = found.empty() ? addresses : found;
      }
      next += 1 / kPerSecond;
      SleepUntil(next);
      if (addresses.empty()) {
        continue;
      }
      const std::string address = addresses[random() % addresses.size()];
      open.emplace_back([this, n, address] {
        const std::string id = "q" + std::to_string(n);
        record_.Add("send " + id);
        const Response response = Call(address,
                                       {"POST",
                                        "/take/x",
                                        {{"Host", "h.example"},
                                         {"Request-Id", id},
                                         {"Deadline-Ms", "3000"},
                                         {"X-Sent", std::to_string(Now())}},
                                        "take"},
                                       kDeadlineS);
        record_.Add("answer " + id + " " + std::to_string(response.status));
      });
      if (open.size() > 400) {
        open.front().join();
        open.erase(open.begin());
      }
    }
    for (std::thread& thread : open) {
      thread.join();
    }
  }

  // Plays the platform's part: old replicas stop at `completed`, and new ones
  // leave some seconds after `rolled_back`.
  void Follow(double until) {
    std::string state;
    while (Now() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      const std::string status = store_.Newest("keyed.status", "rollout/desk");
      if (status != state) {
        state = status;
        record_.Add("status " + status);
        if (status.find("completed") != std::string::npos) {
          for (int i = 0; i < kReplicas; ++i) {
            replicas_[static_cast<std::size_t>(i)]->Leave();
          }
        }
      }
    }
  }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int all = old_.in_move + new_.in_move;
    const double allowed = kExposureShare * all + kExposureSlack;
    record_.Add("v2 got " + std::to_string(new_.in_move) + " of " +
                std::to_string(all) +
                " requests between the order and its deadline; allowed " +
                std::to_string(allowed) + " if it is bad; bad answers " +
                std::to_string(new_.bad) + "; sent later than " +
                std::to_string(kRollbackS) +
                " s after the 50th: " + std::to_string(late_));
    if (all < 100 || new_.in_move == 0) {
      return 2;
    }
    const bool is_bad = new_.bad > 0;
    return is_bad && (new_.in_move > allowed || late_ > 0) ? 1 : 0;
  }

  const std::string folder_ = MakeFolder();
  Record record_;
  Store store_;
  std::mutex mutex_;
  std::mt19937 random_{11};
  std::uniform_real_distribution<double> unit_{0, 1};
  Arrivals old_;
  Arrivals new_;
  int late_ = 0;
  double fiftieth_ = 0;
  std::atomic<double> ordered_{0};
  std::atomic<bool> is_stopping_{false};
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace
}  // namespace review3

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("Usage: rollout RECORD\n", stderr);
    return 2;
  }
  try {
    return review3::Case(argv[1]).Run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
