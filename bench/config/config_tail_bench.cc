#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include "hornbeamcleat/config/config_tail.h"

namespace hornbeamcleat {
namespace {

// Returns a state of `n` workspaces with six applications each.
ConfigState MakeState(std::int64_t n) {
  ConfigState out;
  for (std::int64_t i = 1; i <= n; ++i) {
    WorkspaceSpec spec;
    spec.tier = "gold";
    for (int k = 0; k < 6; ++k) {
      spec.applications.push_back(
          {fmt::format("app-{}", k), fmt::format("model-{}", k), true});
    }
    const std::string name = fmt::format("workspace-{:05}", i);
    Fold(PutRecord{Resource{name, 0, spec}, 0}, static_cast<std::uint64_t>(i),
         &out);
  }
  return out;
}

// Reads one change and publishes the new state.
void ReadOneChange(benchmark::State& state) {
  const std::unique_ptr<ConfigTail> tail = ConfigTail::Make("a#1", {});
  const ConfigState start = MakeState(state.range(0));
  tail->OnPeerState(start);
  std::uint64_t offset = start.revision;
  for (auto _ : state) {
    ++offset;
    const PutRecord record = {
        Resource{fmt::format("t{}", offset), 0, TierSpec{}}, 0};
    const LogRead read = {
        1, offset + 1, {{offset, WallTime(), EncodeRecord(record)}}};
    benchmark::DoNotOptimize(tail->OnRead(read));
  }
}
BENCHMARK(ReadOneChange)->Arg(1'000)->Arg(8'700)->Unit(benchmark::kMicrosecond);

void MakeSnapshot(benchmark::State& state) {
  const std::unique_ptr<ConfigTail> tail = ConfigTail::Make("a#1", {});
  tail->OnPeerState(MakeState(state.range(0)));
  std::size_t bytes = 0;
  std::size_t records = 0;
  for (auto _ : state) {
    bytes = 0;
    const std::vector<std::string> parts = tail->MakeSnapshot(WallTime());
    records = parts.size();
    for (const std::string& part : parts) {
      bytes += part.size();
    }
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  state.counters["records"] = static_cast<double>(records);
}
BENCHMARK(MakeSnapshot)->Arg(1'000)->Arg(8'700)->Unit(benchmark::kMillisecond);

void StateMemory(benchmark::State& state) {
  double bytes = 0;
  for (auto _ : state) {
    const std::size_t before = mallinfo2().uordblks;
    const ConfigState value = MakeState(state.range(0));
    bytes = static_cast<double>(mallinfo2().uordblks - before);
    benchmark::DoNotOptimize(value.revision);
  }
  state.counters["bytes"] = bytes;
}
BENCHMARK(StateMemory)->Arg(1'000)->Arg(8'700)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace hornbeamcleat
