// A key is given to another tenant while requests with it wait for a slot.

#include <fmt/format.h>

#include <string>
#include <thread>
#include <vector>

#include "review/testbed-2.h"

namespace {

using hornbeamcleat::review::Answer;
using hornbeamcleat::review::Client;
using hornbeamcleat::review::IsCalm;
using hornbeamcleat::review::RunCase;
using hornbeamcleat::review::Testbed;

constexpr int kDaemons = 3;
constexpr int kSlots = 6;
constexpr int kWorkMs = 400;
constexpr int kRequests = 72;
/// stable_window_ms, and some for the start.
constexpr int kCalmMs = 3'500;
constexpr int kChangeAfterMs = 300;
constexpr int kDeadlineMs = 15'000;
/// DENIED: 5 and one in 500 of all requests.
constexpr double kAllowed = 5 + kRequests / 500.0;

std::string Config(int version, bool is_moved) {
  return fmt::format(
      R"({{"version":{},"routes":[{{"name":"r-brief","hostname":"ficu95.example",)"
      R"("path_prefix":"/lohu930/","route_type":"non_idempotent",)"
      R"("timeout_ms":15000,"target_latency_ms":8000,"priority":0,)"
      R"("service":"xano55b","max_attempts":1,"public":false}}],)"
      R"("services":[{{"name":"xano55b","health_path":"/healthz",)"
      R"("max_connections":96,"protocol":"h1","tls":false}}],)"
      R"("limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}},)"
      R"("tenants":[{{"name":"hule930","api_keys":["key-1"{}]}},)"
      R"({{"name":"tavo112","api_keys":["key-3"{}]}}]}})",
      version, is_moved ? "" : R"(,"key-2")", is_moved ? R"(,"key-2")" : "");
}

int Work(Testbed* bed) {
  bed->Put("keyed.op", "config", Config(3, false));
  for (int i = 0; i < 3; ++i) {
    bed->AddReplica(fmt::format("i-{}", i), "xano55b", kSlots, kWorkMs);
  }
  if (!bed->AwaitReady(10'000)) {
    return 2;
  }
  Testbed::Sleep(kCalmMs);
  std::vector<Answer> answers(kRequests);
  std::vector<std::thread> clients;
  clients.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([bed, i, &answers] {
      const std::string id = fmt::format("q{}", i);
      Client client(bed, bed->Front(i % kDaemons));
      bed->Note(fmt::format("client: sends {} with key-2", id));
      answers[static_cast<std::size_t>(i)] = client.Ask(
          fmt::format("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                      "Request-Id: {}\r\nDeadline-Ms: {}\r\n"
                      "Api-Key: key-2\r\nContent-Length: 4\r\n\r\nbody",
                      id, kDeadlineMs),
          kDeadlineMs);
      bed->Note(fmt::format("client: {} is answered {} {}", id,
                            answers[static_cast<std::size_t>(i)].status,
                            answers[static_cast<std::size_t>(i)].body));
    });
  }
  Testbed::Sleep(kChangeAfterMs);
  if (!IsCalm()) {
    bed->Put("keyed.op", "config", Config(5, true));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int denied = 0;
  int served = 0;
  for (const Answer& answer : answers) {
    denied += answer.status == 401 ? 1 : 0;
    served += answer.status == 200 ? 1 : 0;
  }
  // The key is good in both configurations: a new request with it is served.
  Client client(bed, bed->Front(0));
  const Answer after = client.Ask(
      "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
      "Request-Id: after\r\nDeadline-Ms: 15000\r\nApi-Key: key-2\r\n"
      "Content-Length: 4\r\n\r\nbody",
      kDeadlineMs);
  bed->Note(fmt::format(
      "{} requests: {} served, {} denied with 401 (allowed {:.1f}); one that "
      "is sent afterwards is answered {}",
      kRequests, served, denied, kAllowed, after.status));
  if (after.status != 200) {
    return 2;
  }
  return denied > kAllowed ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, kDaemons, 0, Work);
}
