#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "hornbeamcleat/move/evidence_table.h"
#include "hornbeamcleat/move/move_controller.h"
#include "hornbeamcleat/move/version_share.h"

namespace hornbeamcleat {
namespace {

constexpr int kStrata = 4;  // length classes times load levels

std::vector<VersionEvidence> Evidence(int routes) {
  std::vector<VersionEvidence> out;
  for (const char* version : {"v1", "v2"}) {
    for (int n = 0; n < routes * kStrata; ++n) {
      VersionEvidence cell;
      cell.model = "llm";
      cell.version = version;
      cell.workspace = "workspace-" + std::to_string(n / kStrata);
      cell.application = "assistant";
      cell.length_class = n % kStrata / 2;
      cell.load_level = n % 2;
      out.push_back(cell);
    }
  }
  return out;
}

void Grow(std::vector<VersionEvidence>* evidence) {
  for (VersionEvidence& cell : *evidence) {
    cell.done += 3;
    cell.first_part_log_sum -= 2;
    cell.first_part_log_square_sum += 2;
  }
}

void DecideCost(benchmark::State& state) {
  MoveSpec spec;
  spec.model = "llm";
  spec.from_version = "v1";
  spec.to_version = "v2";
  spec.deadline = WallTime(std::chrono::hours(10'000));
  const std::unique_ptr<MoveController> controller =
      MoveController::Make("m1", spec, 1);
  MoveInput input;
  input.evidence = Evidence(static_cast<int>(state.range(0)));
  input.wanted_targets = 10;
  input.ready_targets = 10;
  input.started = WallTime();
  MoveState move{MovePhase::kGrowing, 12, WallTime(), ""};
  for (auto _ : state) {
    input.now += std::chrono::seconds(1);
    Grow(&input.evidence);
    benchmark::DoNotOptimize(controller->Decide(move, input));
  }
}
BENCHMARK(DecideCost)->Arg(4)->Arg(64)->Arg(1'024);

void MergeEntriesCost(benchmark::State& state) {
  const std::vector<VersionEvidence> evidence = Evidence(64);
  const std::unique_ptr<EvidenceTable> table = EvidenceTable::Make();
  for (int n = 0; n < state.range(0); ++n) {
    table->Report("entry-" + std::to_string(n), 1, evidence);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(table->Merged("llm"));
  }
}
BENCHMARK(MergeEntriesCost)->Arg(6)->Arg(60);

void ChoosesNewVersionCost(benchmark::State& state) {
  VersionShare share;
  share.model = "llm";
  share.to_version = "v2";
  share.share_permille = 12;
  std::uint64_t hash = 1;
  for (auto _ : state) {
    hash = hash * 6'364'136'223'846'793'005U + 1;
    benchmark::DoNotOptimize(ChoosesNewVersion(share, hash));
  }
}
BENCHMARK(ChoosesNewVersionCost);

}  // namespace
}  // namespace hornbeamcleat
