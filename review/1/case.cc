// Another writer leaves an entry in the list of replicas that can't be read.
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/testbed.h"

namespace review {
namespace {

constexpr int kVms = 3;
constexpr int kReplicas = 3;
constexpr int kSlots = 8;
constexpr double kWork = 0.06;
constexpr double kTroubleAt = 3;
/// The operator drops a route, and machines may use it for a while more.
constexpr double kDropAt = 5;
constexpr double kConfigApply = 2;
constexpr double kEnd = 60;
constexpr double kReadyTime = 10;
/// The platform starts an ended process again after a short delay.
constexpr double kRestartDelay = 0.3;
constexpr double kPause = 0.1;
constexpr double kPatience = 3;
/// Less than the 262,144 bytes that a record may have.
constexpr std::size_t kNesting = 60'000;

// A comment with a quotation mark, then open brackets.
std::string UnreadableEntry() { return "//\"\n" + std::string(kNesting, '['); }

std::string Route(const std::string& name, bool is_public) {
  return R"({"name":")" + name + R"(","hostname":"h","path_prefix":"/)" + name +
         R"(/","route_type":"non_idempotent","timeout_ms":1500,)"
         R"("target_latency_ms":300,"priority":0,"service":"register",)"
         R"("max_attempts":1,"public":)" +
         (is_public ? "true" : "false") + "}";
}

std::string Config(int version, bool has_old_route) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         Route("keyed", false) +
         (has_old_route ? "," + Route("old", true) : "") +
         R"(],"services":[{"name":"register","health_path":"/healthz",)"
         R"("max_connections":110}],"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["key"]}]})";
}

[[noreturn]] void Run(const std::string& folder) {
  Record record("review/1/record.txt");
  Store store;
  store.Put("keyed.op", "config", Config(1, true));
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    const std::string id = "i-" + std::to_string(i);
    replicas.push_back(std::make_unique<Replica>(
        id, kWork, [&record, id](const Message& request) {
          record.Add(
              Concat({"replica ", id, " runs ", request.Header("request-id")}));
        }));
    store.Put(
        "keyed.servers", id,
        replicas.back()->Entry("register", "z" + std::to_string(i), kSlots));
  }
  std::vector<std::unique_ptr<Vm>> vms;
  for (int i = 0; i < kVms; ++i) {
    vms.push_back(std::make_unique<Vm>(folder, "vm" + std::to_string(i),
                                       "z" + std::to_string(i),
                                       store.Address()));
    vms.back()->Start();
  }
  if (!AwaitReady(vms, kReadyTime)) {
    record.Add("the processes don't get ready");
    End(kCouldNotRun, &vms, folder);
  }
  record.Add("all processes are ready");
  const double start = Now();
  std::atomic<bool> is_over = false;
  std::atomic<int> stale_runs = 0;
  std::atomic<double> bound = start + kEnd;
  std::vector<std::thread> callers;
  callers.reserve(2 * kVms);
  for (int i = 0; i < 2 * kVms; ++i) {
    callers.emplace_back([&, i] {
      const int vm = i / 2;
      const std::string route = i % 2 == 0 ? "keyed" : "old";
      for (int n = 0; !is_over; ++n) {
        const std::string id =
            route + std::to_string(vm) + "-" + std::to_string(n);
        const bool is_late = route == "old" && Now() > bound;
        const Message answer = Ask(
            vms[vm]->Front(),
            FormatPost(Concat({"/", route, "/x"}), id, "key", ""), kPatience);
        stale_runs += is_late && answer.status == 200 ? 1 : 0;
        record.Add("request " + id + " to vm" + std::to_string(vm) + ": " +
                   std::to_string(answer.status) + " " + answer.body +
                   (is_late ? " (the route is dropped)" : ""));
        SleepFor(kPause);
      }
    });
  }
  bool is_written = !HasTrouble();
  bool is_dropped = false;
  int ends = 0;
  std::vector<double> start_at(kVms, 0);
  while (Now() - start < kEnd && (stale_runs == 0 || ends < kVms)) {
    if (!is_written && Now() - start > kTroubleAt) {
      is_written = true;
      store.Put("keyed.servers", "i-other", UnreadableEntry());
      record.Add("another writer writes servers/i-other, " +
                 std::to_string(UnreadableEntry().size()) + " bytes");
    }
    if (!is_dropped && Now() - start > kDropAt) {
      is_dropped = true;
      store.Put("keyed.op", "config", Config(2, false));
      bound = Now() + kConfigApply;
      record.Add("the store acknowledges version 2, without the route 'old'");
    }
    for (int i = 0; i < kVms; ++i) {
      std::string how;
      if (vms[i]->HasEnded(&how)) {
        ++ends;
        start_at[i] = Now() + kRestartDelay;
        record.Add("process of vm" + std::to_string(i) +
                   " ended by itself: " + how);
      } else if (start_at[i] > 0 && Now() >= start_at[i]) {
        start_at[i] = 0;
        vms[i]->Start();
        record.Add("vm" + std::to_string(i) + " is started again");
      }
    }
    SleepFor(0.02);
  }
  is_over = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.Add("served on the dropped route: " + std::to_string(stale_runs) +
             ", ends of processes: " + std::to_string(ends));
  End(stale_runs > 0 ? kBroken : kHeld, &vms, folder);
}

}  // namespace
}  // namespace review

int main() { review::Run(review::MakeFolder()); }
