// A key is taken away. Later the store comes back from a copy that still holds
// it, and a machine is added before the operator has written the configuration
// again. Counts the requests with the key that run.

#include <atomic>
#include <cstdio>
#include <exception>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/testbed-3.h"

namespace review3 {
namespace {

constexpr int kDaemons = 3;
constexpr int kReplicas = 2;
constexpr double kRevokeS = 5;  ///< revoke_ms
/// Times from the start of the clients.
constexpr double kCopyAtS = 1;
constexpr double kRevokedAtS = 2;
constexpr double kAwayAtS = 8.5;
constexpr double kBackAtS = 9.5;
constexpr double kAddedAtS = 9.7;
/// The operator and the replicas write again what is lost; for entries of
/// replicas, the pages state about two seconds.
constexpr double kRewrittenAtS = 11;
constexpr double kEndAtS = 14;
constexpr double kPauseS = 0.05;

constexpr char kKeptKey[] = "kept-key-0123456789";
constexpr char kRevokedKey[] = "lost-key-0123456789";

std::string Config(int version, bool has_key) {
  const std::string keys =
      std::string("\"") + kKeptKey + "\"" +
      (has_key ? std::string(",\"") + kRevokedKey + "\"" : std::string());
  return "{\"version\":" + std::to_string(version) +
         R"(,"routes":[{"name":"r-look","hostname":"h.example",)"
         R"("path_prefix":"/look/","route_type":"idempotent",)"
         R"("timeout_ms":1000,"target_latency_ms":150,"priority":2,)"
         R"("service":"desk","max_attempts":2,"public":false,)"
         R"("sticky":false}],"services":[{"name":"desk",)"
         R"("health_path":"/healthz","max_connections":370,)"
         R"("protocol":"h1","tls":false}],"limits":{)"
         R"("max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"hule930","priority":1,"api_keys":[)" +
         keys + "]}]}";
}

class Case {
 public:
  explicit Case(const std::string& record) : record_(record) {}

  int Run() {
    store_.Put("keyed.op", "config", Config(7, true));
    for (int i = 0; i < kReplicas; ++i) {
      Replica::Spec spec;
      spec.id = "i-" + std::to_string(i);
      spec.service = "desk";
      spec.on_run = [this](const Request& request, int) {
        OnRun(request);
        return 200;
      };
      replicas_.push_back(std::make_unique<Replica>(&store_, std::move(spec)));
    }
    for (int i = 0; i < kDaemons; ++i) {
      if (!AddDaemon()) {
        return 2;
      }
    }
    const double start = Now();
    std::vector<std::thread> clients;
    for (const auto& daemon : daemons_) {
      const Daemon* const asked = daemon.get();
      clients.emplace_back([this, asked] { Ask(*asked); });
    }
    const bool is_played = Play(start);
    SleepUntil(start + kEndAtS);
    is_stopping_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    const int result = is_played ? Judge() : 2;
    daemons_.clear();
    return result;
  }

 private:
  bool AddDaemon() {
    const std::string name = "vm-" + std::to_string(daemons_.size());
    daemons_.push_back(
        std::make_unique<Daemon>(folder_, name, store_.Address()));
    daemons_.back()->Start();
    const bool is_ready = AwaitReady(*daemons_.back(), Now() + 4);
    record_.Add(name + (is_ready ? " is ready" : " is not ready"));
    return is_ready;
  }

  bool Play(double start) {
    SleepUntil(start + kCopyAtS);
    store_.Copy();
    record_.Add("the store is copied");
    SleepUntil(start + kRevokedAtS);
    revoked_at_ = store_.Put("keyed.op", "config", Config(9, false));
    record_.Add("version 9 without the key is acknowledged");
    if (WantsTrouble()) {
      SleepUntil(start + kAwayAtS);
      store_.GoAway();
      record_.Add("the store is away");
      SleepUntil(start + kBackAtS);
      store_.Restore();
      record_.Add("the store is back from its copy");
    }
    SleepUntil(start + kAddedAtS);
    record_.Add("a machine is added");
    // The machine is left out of the clients' list until it is ready.
    std::thread added([this] {
      if (AddDaemon()) {
        is_added_ = true;
        Ask(*daemons_.back());
      }
    });
    SleepUntil(start + kRewrittenAtS);
    if (WantsTrouble()) {
      store_.Put("keyed.op", "config", Config(9, false));
      record_.Add("the operator writes version 9 again");
    }
    SleepUntil(start + kEndAtS);
    is_stopping_ = true;
    added.join();
    return is_added_;
  }

  void OnRun(const Request& request) {
    const std::string id = Find(request.headers, "Request-Id");
    record_.Add("run " + id);
    // Clients name their requests KEY-NUMBER-TIME.
    const double sent = std::stod(id.substr(id.rfind('-') + 1));
    const std::lock_guard<std::mutex> lock(mutex_);
    ++runs_;
    if (id.starts_with("lost") && revoked_at_ > 0 &&
        sent > revoked_at_ + kRevokeS) {
      ++broken_;
    }
  }

  // Sends requests with either key in turn, each on a connection of its own.
  void Ask(const Daemon& daemon) {
    for (int n = 0; !is_stopping_; ++n) {
      const bool is_lost = n % 2 == 0;
      const std::string id = std::string(is_lost ? "lost" : "kept") + "-" +
                             std::to_string(n) + "-" + std::to_string(Now());
      record_.Add("send " + id + " to " + daemon.Name());
      const Response response =
          Call(daemon.Front(),
               {"GET",
                "/look/x",
                {{"Host", "h.example"},
                 {"Request-Id", id},
                 {"Deadline-Ms", "1000"},
                 {"Api-Key", is_lost ? kRevokedKey : kKeptKey}},
                ""},
               1);
      record_.Add("answer " + id + " " + std::to_string(response.status));
      std::this_thread::sleep_for(std::chrono::duration<double>(kPauseS));
    }
  }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    record_.Add(std::to_string(runs_) + " runs; " + std::to_string(broken_) +
                " of requests that were sent with the key later than " +
                std::to_string(kRevokeS) +
                " s after it was acknowledged to be gone");
    return broken_ > 0 ? 1 : 0;
  }

  const std::string folder_ = MakeFolder();
  Record record_;
  Store store_;
  std::mutex mutex_;
  int runs_ = 0;
  int broken_ = 0;
  std::atomic<double> revoked_at_{0};
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> is_added_{false};
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace
}  // namespace review3

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("Usage: restored_keys RECORD\n", stderr);
    return 2;
  }
  try {
    return review3::Case(argv[1]).Run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
