#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "src/serving/loss_table.h"
#include "src/serving/target_balancer.h"
#include "src/serving/vm_directory.h"
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

// A twentieth of the targets states a limit.
void PickAmongLimitedTargets(benchmark::State& state) {
  TargetBalancer balancer;
  balancer.Limits()->SetShareSource([](const TargetInstance&) {
    VmShare share;
    share.takes_part = true;
    return share;
  });
  const std::vector<ServingTarget> targets =
      Targets(static_cast<int>(state.range(0)));
  balancer.SetTargets(targets, kNow);
  for (std::size_t i = 0; i < targets.size(); i += 20) {
    balancer.Limits()->OnStated(TargetInstance::Of(targets[i]), 2, kNow);
  }
  const PlacementNeed need = Need();
  for (auto _ : state) {
    benchmark::DoNotOptimize(balancer.Pick(need, kNow));
  }
}
BENCHMARK(PickAmongLimitedTargets)->Arg(10)->Arg(90)->Arg(400);

// Cost of one limited target each 250 ms, by the number of VMs.
void ShareOfLimitedTarget(benchmark::State& state) {
  VmDirectory directory(
      {"self", "", "d"},
      {milliseconds(900), milliseconds(900), milliseconds(20'000)});
  std::vector<VmRecord> members;
  for (int i = 1; i < state.range(0); ++i) {
    members.push_back({"10.0.0.1:" + std::to_string(i), "", "d"});
  }
  directory.SetMembers(members, kNow);
  std::uint64_t key = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(directory.ShareOf(++key, "d", true, kNow));
  }
}
BENCHMARK(ShareOfLimitedTarget)->Arg(8)->Arg(295)->Arg(410);

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

// Request with `n` parts in its prompt, of which it shares the first half.
std::vector<RequestProperty> PropertiesOf(int request, int n) {
  std::vector<RequestProperty> properties = {
      {PropertyKind::kContent, std::to_string(request)},
      {PropertyKind::kPath, "h/p/"},
      {PropertyKind::kKey, std::to_string(request % 40)},
      {PropertyKind::kModel, "m"},
      SizeProperty("prompt", 6'610)};
  for (int i = 0; i < n; ++i) {
    properties.emplace_back(
        PropertyKind::kPart,
        i < n / 2 ? std::to_string(i) : std::to_string(request * 100 + i));
  }
  return properties;
}

// Losses after a failure domain with `n` targets ended, six requests each.
LossTable LossesOf(int n, int parts) {
  LossTable table({2, std::chrono::seconds(30)});
  for (int i = 0; i < 6 * n; ++i) {
    table.OnTargetLost(
        TargetRun::Make(PropertiesOf(i, parts),
                        "t" + std::to_string(i % n) + "/1", kNow),
        kNow);
  }
  return table;
}

void MergeKnownLossReport(benchmark::State& state) {
  LossTable table = LossesOf(static_cast<int>(state.range(0)), 4);
  const LossReport report = table.CompleteReport(kNow);
  for (auto _ : state) {
    table.OnPeerReport(report, kNow);
  }
}
BENCHMARK(MergeKnownLossReport)->Arg(10)->Arg(340);

void MakeLossReport(benchmark::State& state) {
  const LossTable table = LossesOf(static_cast<int>(state.range(0)), 4);
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.ChangesSince(kNow, kNow));
  }
}
BENCHMARK(MakeLossReport)->Arg(10)->Arg(340);

// Decision after a loss beside those of `n` targets, requests of eight parts.
void DecideOnLoss(benchmark::State& state) {
  LossTable table = LossesOf(static_cast<int>(state.range(0)), 8);
  int request = 0;
  for (auto _ : state) {
    ++request;
    table.OnTargetLost(
        TargetRun::Make(PropertiesOf(request % 64, 8),
                        "t" + std::to_string(request % 7) + "/1", kNow),
        kNow);
  }
}
BENCHMARK(DecideOnLoss)->Arg(10)->Arg(340);

void CheckRequest(benchmark::State& state) {
  const LossTable table = LossesOf(static_cast<int>(state.range(0)), 8);
  const std::vector<RequestProperty> properties = PropertiesOf(1'000'000, 8);
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.RefusedOf(properties));
  }
}
BENCHMARK(CheckRequest)->Arg(10)->Arg(340);

void CountAnswer(benchmark::State& state) {
  LossTable table = LossesOf(static_cast<int>(state.range(0)), 8);
  int request = 0;
  for (auto _ : state) {
    table.OnAnswered(
        TargetRun::Make(PropertiesOf(++request % 100'000, 8), "a/1", kNow),
        kNow, kNow);
    if (request % 1'000 == 0) {
      table.Expire(kNow);
    }
  }
}
BENCHMARK(CountAnswer)->Arg(10)->Arg(340);

}  // namespace
}  // namespace hornbeamcleat
