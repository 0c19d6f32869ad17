#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/net/stream_callers.h"
#include "bench/net/stream_target.h"
#include "tests/entry/entry_process.h"
#include "tests/entry/fake_control.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kPartPeriod = std::chrono::milliseconds(73);
constexpr int kTargetNames = 400;  // of one stand-in; all its work in parallel
constexpr int kProbes = 200;
constexpr std::chrono::seconds kWarmUp(4);
constexpr std::chrono::seconds kMeasured(10);

template <typename Spec>
void Put(ConfigState* config, const std::string& name, const Spec& spec) {
  Resource resource;
  resource.name = name;
  resource.version = 1;
  resource.spec = spec;
  config->resources[{KindName(resource.spec), name}] = resource;
}

ViewMessage MakeView(const Address& target) {
  const std::shared_ptr<ConfigState> config = std::make_shared<ConfigState>();
  config->revision = 1;
  TierSpec tier;
  tier.default_deadline = std::chrono::hours(1);
  Put(config.get(), "gold", tier);
  WorkspaceSpec workspace;
  workspace.tier = "gold";
  workspace.applications = {{"chat", "m", true}};
  Put(config.get(), "w", workspace);
  VersionSpec version;
  version.model = "m";
  Put(config.get(), "v1", version);
  for (int i = 0; i < kTargetNames; ++i) {
    TargetSpec spec;
    spec.kind = TargetKind::kService;
    spec.address = target.ToString();
    spec.model = "m";
    spec.version = "v1";
    spec.hardware = "h";
    Put(config.get(), "t" + std::to_string(i), spec);
  }
  ViewMessage view;
  view.view.config = config;
  return view;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// One entry process, one stand-in target and their callers. Range 0 is the
// number of open answers.
void OpenAnswers(benchmark::State& state) {
  const int answers = static_cast<int>(state.range(0));
  StreamTarget target(kPartPeriod);
  const FakeControl control(MakeView(target.Listening()), std::nullopt);
  const EntryProcess entry(control.Listening());
  const double idle_mib = entry.ResidentMiB();
  for (auto iteration : state) {
    const StreamCallers callers(entry.Listening(), answers);
    std::this_thread::sleep_for(kWarmUp);
    const double cpu = entry.CpuSeconds();
    const std::uint64_t parts = callers.Parts();
    const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    Probe probe;
    std::vector<double> direct;
    std::vector<double> added;
    for (int i = 0; i < kProbes; ++i) {
      direct.push_back(probe.FirstPartMs(target.Listening()));
      added.push_back(probe.FirstPartMs(entry.Listening()));
    }
    std::this_thread::sleep_until(start + kMeasured);
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
            .count();
    state.counters["open"] = callers.Open();
    state.counters["parts_per_s"] =
        static_cast<double>(callers.Parts() - parts) / seconds;
    state.counters["entry_cores"] = (entry.CpuSeconds() - cpu) / seconds;
    state.counters["entry_mib"] = entry.ResidentMiB();
    state.counters["entry_idle_mib"] = idle_mib;
    state.counters["direct_ms"] = Median(direct);
    state.counters["via_entry_ms"] = Median(added);
  }
}

BENCHMARK(OpenAnswers)
    ->Arg(0)
    ->Arg(550)
    ->Arg(1'100)
    ->Iterations(1)
    ->Unit(benchmark::kSecond)
    ->MeasureProcessCPUTime();

}  // namespace
}  // namespace hornbeamcleat
