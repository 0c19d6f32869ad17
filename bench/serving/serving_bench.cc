#include <benchmark/benchmark.h>

#include <string>
#include <vector>

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
  TargetBalancer board;
  board.SetTargets(Targets(static_cast<int>(state.range(0))), kNow);
  const PlacementNeed need = Need();
  for (auto _ : state) {
    benchmark::DoNotOptimize(board.Pick(need, kNow));
  }
}
BENCHMARK(PickTarget)->Arg(10)->Arg(90)->Arg(400);

// One pass over a full line while no place is free; per waiting request.
void DecideFullLine(benchmark::State& state) {
  TargetBalancer board;
  board.SetTargets(Targets(90), kNow);
  for (int i = 0; i < 90; ++i) {
    for (int place = 0; place < 8; ++place) {
      board.OnSent("t" + std::to_string(i), 0, kNow);
    }
  }
  WaitQueue line(&board);
  line.OnSlotReleased("s", milliseconds(10));
  const int waiting = static_cast<int>(state.range(0));
  for (int i = 0; i < waiting; ++i) {
    WaitingRequest request;
    request.id = static_cast<std::uint64_t>(i);
    request.rank = i % 3;
    request.arrival = kNow;
    request.objective_deadline = kNow + milliseconds(100'000);
    request.deadline = kNow + milliseconds(100'000);
    request.need = Need();
    line.Add(request);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(line.Decide(kNow));
  }
  state.SetItemsProcessed(state.iterations() * waiting);
}
BENCHMARK(DecideFullLine)->Arg(10)->Arg(1'000);

}  // namespace
}  // namespace hornbeamcleat
