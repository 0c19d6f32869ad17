#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "src/serving/content_loss_table.h"
#include "src/serving/target_balancer.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr Time kNow{milliseconds(10'000)};

std::vector<ServingTarget> Targets(int n) {
  std::vector<ServingTarget> targets;
  for (int i = 0; i < n; ++i) {
    ServingTarget spec;
    spec.id = "t" + std::to_string(i);
    spec.service = "s";
    spec.slots = 8;
    targets.push_back(spec);
  }
  return targets;
}

PlacementNeed Need() {
  PlacementNeed need;
  need.service = "s";
  need.prompt_tokens = 1'000;
  need.max_pause = milliseconds(250);
  return need;
}

void PickTarget(benchmark::State& state) {
  TargetBalancer balancer;
  balancer.SetTargets(Targets(static_cast<int>(state.range(0))), kNow);
  const PlacementNeed need = Need();
  for (auto _ : state) {
    benchmark::DoNotOptimize(balancer.Pick(need, kNow));
  }
}
BENCHMARK(PickTarget)->Arg(10)->Arg(90)->Arg(400);

// Cost per waiting request of one pass over the queue while no slot is free.
void DecideFullQueue(benchmark::State& state) {
  TargetBalancer balancer;
  balancer.SetTargets(Targets(90), kNow);
  for (int i = 0; i < 90; ++i) {
    for (int slot = 0; slot < 8; ++slot) {
      balancer.OnSent("t" + std::to_string(i), 0, kNow);
    }
  }
  WaitQueue queue(&balancer);
  queue.OnSlotReleased("s", milliseconds(10));
  const int waiting = static_cast<int>(state.range(0));
  for (int i = 0; i < waiting; ++i) {
    WaitingRequest request;
    request.id = static_cast<std::uint64_t>(i);
    request.rank = i % 3;
    request.arrival = kNow;
    request.objective_deadline = kNow + milliseconds(100'000);
    request.deadline = kNow + milliseconds(100'000);
    request.need = Need();
    queue.Add(request);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(queue.Decide(kNow));
  }
  state.SetItemsProcessed(state.iterations() * waiting);
}
BENCHMARK(DecideFullQueue)->Arg(10)->Arg(1'000);

// Losses after a failure domain with `n` targets ended, ten contents each.
ContentLossTable LossesOf(int n) {
  ContentLossTable table({2, std::chrono::seconds(30)});
  for (int i = 0; i < 10 * n; ++i) {
    table.OnTargetLost(static_cast<std::uint64_t>(i),
                       "t" + std::to_string(i % n) + "/1", kNow);
  }
  return table;
}

void MergeKnownContentReport(benchmark::State& state) {
  ContentLossTable table = LossesOf(static_cast<int>(state.range(0)));
  const ContentReport report = table.CompleteReport(kNow);
  for (auto _ : state) {
    table.OnPeerReport(report, kNow);
  }
}
BENCHMARK(MergeKnownContentReport)->Arg(10)->Arg(340);

void MakeContentReport(benchmark::State& state) {
  const ContentLossTable table = LossesOf(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.ChangesSince(kNow, kNow));
  }
}
BENCHMARK(MakeContentReport)->Arg(10)->Arg(340);

// Decision after a loss by a target with which `n` contents were lost.
void DecideOnLoss(benchmark::State& state) {
  ContentLossTable table({2, std::chrono::seconds(30)});
  for (int i = 0; i < state.range(0); ++i) {
    table.OnTargetLost(static_cast<std::uint64_t>(i), "t/1", kNow);
  }
  for (auto _ : state) {
    table.OnTargetLost(0, "t/1", kNow);
  }
}
BENCHMARK(DecideOnLoss)->Arg(10)->Arg(4'096);

void CheckContent(benchmark::State& state) {
  const ContentLossTable table = LossesOf(static_cast<int>(state.range(0)));
  std::uint64_t fingerprint = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.IsRefused(++fingerprint % 100));
  }
}
BENCHMARK(CheckContent)->Arg(10)->Arg(340);

}  // namespace
}  // namespace hornbeamcleat
