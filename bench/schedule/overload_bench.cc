#include <benchmark/benchmark.h>

#include <string>

#include "bench/schedule/overload.h"

namespace hornbeamcleat {
namespace {

/// Runs the overload experiment once. Arguments: policy, load in percent of
/// capacity, seed.
void RunOverload(benchmark::State& state) {
  overload::Setup setup;
  setup.policy = static_cast<SchedulePolicy>(state.range(0));
  setup.load = static_cast<double>(state.range(1)) / 100;
  setup.seed = static_cast<std::uint64_t>(state.range(2));
  overload::Result result;
  for (auto step : state) {
    result = overload::Overload(setup).Run();
  }
  for (std::size_t rank = 0; rank < result.goodput.size(); ++rank) {
    state.counters["tier" + std::to_string(rank)] =
        result.goodput[rank] / result.offered[rank];
  }
  state.counters["goodput"] = result.Total();
  state.counters["inversions"] = result.inversions;
  state.counters["wasted_prefill"] = result.wasted_prefill / result.prefill;
  std::string refusals;
  for (const auto& [reason, n] : result.refusals) {
    refusals += reason + "=" + std::to_string(n) + " ";
  }
  state.SetLabel(refusals);
}

BENCHMARK(RunOverload)
    ->ArgNames({"policy", "load", "seed"})
    ->ArgsProduct({{static_cast<int>(SchedulePolicy::kFull),
                    static_cast<int>(SchedulePolicy::kRandom),
                    static_cast<int>(SchedulePolicy::kLeastReportedLoad),
                    static_cast<int>(SchedulePolicy::kSingleQueue)},
                   {80, 100, 120, 200},
                   {1, 2, 3, 4, 5}})
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

}  // namespace
}  // namespace hornbeamcleat
