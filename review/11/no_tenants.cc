// The operator takes the last tenant away, and its keys with it. Counts the
// requests with its key, and with a key that never was, that run.

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
constexpr double kRevokedAtS = 2;
constexpr double kEndAtS = 12;
constexpr double kPauseS = 0.05;

constexpr char kTenantKey[] = "held-key-0123456789";
constexpr char kUnknownKey[] = "none-key-0123456789";

std::string Config(int version, bool has_tenant) {
  return "{\"version\":" + std::to_string(version) +
         R"(,"routes":[{"name":"r-take","hostname":"h.example",)"
         R"("path_prefix":"/take/","route_type":"non_idempotent",)"
         R"("timeout_ms":1000,"target_latency_ms":150,"priority":2,)"
         R"("service":"desk","max_attempts":1,"public":false,)"
         R"("sticky":false}],"services":[{"name":"desk",)"
         R"("health_path":"/healthz","max_connections":370,)"
         R"("protocol":"h1","tls":false}],"limits":{)"
         R"("max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)" +
         (has_tenant ? std::string(R"({"name":"hule930","priority":1,)"
                                   R"("api_keys":[")") +
                           kTenantKey + "\"]}"
                     : std::string()) +
         "]}";
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
        return Answer();
      };
      replicas_.push_back(std::make_unique<Replica>(&store_, std::move(spec)));
    }
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
    const double start = Now();
    std::vector<std::thread> clients;
    for (const auto& daemon : daemons_) {
      const Daemon* const asked = daemon.get();
      clients.emplace_back([this, asked] { Ask(*asked); });
    }
    SleepUntil(start + kRevokedAtS);
    if (WantsTrouble()) {
      revoked_at_ = store_.Put("keyed.op", "config", Config(9, false));
      record_.Add("version 9 with no tenant is acknowledged");
    }
    SleepUntil(start + kEndAtS);
    is_stopping_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    const int result = Judge();
    daemons_.clear();
    return result;
  }

 private:
  void OnRun(const Request& request) {
    const std::string id = Find(request.headers, "Request-Id");
    const std::string tenant = Find(request.headers, "Tenant-Id");
    record_.Add("run " + id + " tenant=" + tenant);
    // Clients name their requests KEY-NUMBER-TIME.
    const double sent = std::stod(id.substr(id.rfind('-') + 1));
    const std::lock_guard<std::mutex> lock(mutex_);
    ++runs_;
    if (id.starts_with("none")) {
      ++unknown_;
    } else if (revoked_at_ > 0 && sent > revoked_at_ + kRevokeS) {
      ++revoked_;
    }
  }

  // Sends requests with either key in turn, each on a connection of its own.
  void Ask(const Daemon& daemon) {
    for (int n = 0; !is_stopping_; ++n) {
      const bool is_held = n % 2 == 0;
      const std::string id = std::string(is_held ? "held" : "none") + "-" +
                             daemon.Name().back() + std::to_string(n) + "-" +
                             std::to_string(Now());
      record_.Add("send " + id);
      const Response response =
          Call(daemon.Front(),
               {"POST",
                "/take/x",
                {{"Host", "h.example"},
                 {"Request-Id", id},
                 {"Deadline-Ms", "1000"},
                 {"Api-Key", is_held ? kTenantKey : kUnknownKey}},
                "take"},
               1);
      record_.Add("answer " + id + " " + std::to_string(response.status));
      std::this_thread::sleep_for(std::chrono::duration<double>(kPauseS));
    }
  }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    record_.Add(std::to_string(runs_) + " runs; " + std::to_string(revoked_) +
                " of requests that were sent with the key later than " +
                std::to_string(kRevokeS) +
                " s after it was acknowledged to be gone; " +
                std::to_string(unknown_) +
                " of requests with a key that no configuration ever held");
    if (runs_ == 0) {
      return 2;
    }
    return revoked_ + unknown_ > 0 ? 1 : 0;
  }

  const std::string folder_ = MakeFolder();
  Record record_;
  Store store_;
  std::mutex mutex_;
  int runs_ = 0;
  int revoked_ = 0;
  int unknown_ = 0;
  std::atomic<double> revoked_at_{0};
  std::atomic<bool> is_stopping_{false};
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace
}  // namespace review3

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("Usage: no_tenants RECORD\n", stderr);
    return 2;
  }
  try {
    return review3::Case(argv[1]).Run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
