#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <ctime>

#include "tests/member/virtual_network.h"

namespace hornbeamcleat {
namespace {

constexpr std::chrono::seconds kSettle(60);
constexpr std::chrono::seconds kMeasured(60);
constexpr std::size_t kDomainSize = 34;  // 410 members in 12 domains

struct Cost {
  double mean_bytes = 0;  // per member and second
  double most_bytes = 0;  // of the busiest member, a relay
  double cpu_us = 0;  // per member and second, including the simulated network
};

// Runs `domains` domains for kMeasured, with `facts` changes of a fact per
// second over all members.
Cost Measure(std::size_t domains, std::size_t per_domain, int facts) {
  VirtualNetwork network{MembershipOptions{}};
  network.StartAll(domains, per_domain);
  network.Run(kSettle);
  const std::size_t n = network.Size();
  std::vector<std::uint64_t> before;
  before.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    before.push_back(network.At(i).Counters().bytes_sent);
  }
  const std::clock_t start = std::clock();
  int change = 0;
  for (int second = 0; second < kMeasured.count(); ++second) {
    for (int i = 0; i < facts; ++i) {
      ++change;
      network.At(static_cast<std::size_t>(change * 7) % n)
          .SetFact("floor/llm", std::to_string(change), true, network.Now());
    }
    network.Run(std::chrono::seconds(1));
  }
  const double elapsed =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  Cost out;
  const double seconds = static_cast<double>(kMeasured.count());
  for (std::size_t i = 0; i < n; ++i) {
    const double bytes =
        static_cast<double>(network.At(i).Counters().bytes_sent - before[i]) /
        seconds;
    out.mean_bytes += bytes / static_cast<double>(n);
    out.most_bytes = std::max(out.most_bytes, bytes);
  }
  out.cpu_us = elapsed * 1e6 / seconds / static_cast<double>(n);
  return out;
}

void Report(benchmark::State& state, std::size_t domains,
            std::size_t per_domain, int facts) {
  Cost cost;
  for (auto _ : state) {
    cost = Measure(domains, per_domain, facts);
  }
  state.counters["bytes_per_s"] = cost.mean_bytes;
  state.counters["most_bytes_per_s"] = cost.most_bytes;
  state.counters["cpu_us_per_s"] = cost.cpu_us;
}

// One failure domain.
void OneDomain(benchmark::State& state) {
  Report(state, 1, static_cast<std::size_t>(state.range(0)),
         static_cast<int>(state.range(1)));
}
BENCHMARK(OneDomain)
    ->ArgNames({"members", "facts_per_s"})
    ->ArgsProduct({{4, 8, 16, 32, 64}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Three failure domains; each member changes a fact every second.
void EachStatesAFact(benchmark::State& state) {
  const std::size_t per_domain = static_cast<std::size_t>(state.range(0)) / 3;
  Report(state, 3, per_domain, static_cast<int>(3 * per_domain));
}
BENCHMARK(EachStatesAFact)
    ->ArgName("members")
    ->Arg(6)
    ->Arg(9)
    ->Arg(33)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Failure domains of kDomainSize members.
void ManyDomains(benchmark::State& state) {
  Report(state, static_cast<std::size_t>(state.range(0)), kDomainSize,
         static_cast<int>(state.range(1)));
}
BENCHMARK(ManyDomains)
    ->ArgNames({"domains", "facts_per_s"})
    ->ArgsProduct({{1, 2, 4}, {0, 1, 4}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace hornbeamcleat
