#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include "hornbeamcleat/agree/intents.h"
#include "src/agree/intent_record.h"

namespace hornbeamcleat {
namespace {

constexpr std::int64_t kStartMs = 1'700'000'000'000;
constexpr std::int64_t kBatch = 32;  // attempts in one record

std::string Payload(std::int64_t first) {
  IntentRecord record;
  record.entry = "entry-a1#1700000000000";
  for (std::int64_t i = first; i < first + kBatch; ++i) {
    const std::string id = fmt::format("018bcfe5-6800-7abc-8def-{:012x}", i);
    record.attempts.push_back(
        {static_cast<std::uint64_t>(i), id, id + "/0123456789abcdef"});
  }
  return EncodeIntent(record);
}

// Time to apply a key claimed by another entry, and the memory it occupies.
void FoldOthersRecords(benchmark::State& state) {
  const std::int64_t records = state.range(0) / kBatch;
  std::vector<std::string> payloads;
  payloads.reserve(static_cast<std::size_t>(records));
  for (std::int64_t i = 0; i < records; ++i) {
    payloads.push_back(Payload(i * kBatch));
  }
  double bytes = 0;
  for (auto _ : state) {
    const std::size_t before = mallinfo2().uordblks;
    const std::unique_ptr<Intents> intents = Intents::Make("self#1", {});
    std::uint64_t offset = 0;
    for (const std::string& payload : payloads) {
      intents->OnRecord(++offset, WallTime(std::chrono::milliseconds(kStartMs)),
                        payload, Time());
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before) /
            static_cast<double>(intents->Size());
  }
  state.counters["bytes_per_key"] = bytes;
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(FoldOthersRecords)
    ->Arg(32'000)
    ->Arg(128'000)
    ->Unit(benchmark::kMillisecond);

// Appends per second of all writers, each of which always has a pending
// attempt.
void AppendsOfAllWriters(benchmark::State& state) {
  const std::size_t writers = static_cast<std::size_t>(state.range(0));
  constexpr std::chrono::seconds kRun(60);
  double appends = 0;
  for (auto _ : state) {
    const std::unique_ptr<Intents> intents = Intents::Make("self#1", {});
    intents->OnCaughtUp(true);
    intents->SetWriterCount(writers);
    appends = 0;
    for (Time now; now < Time(kRun); now += std::chrono::milliseconds(10)) {
      const std::int64_t ms = now.time_since_epoch().count() / 1'000;
      intents->Propose(fmt::format("r{}", ms),
                       fmt::format("{}-k", kStartMs + ms), now);
      if (const std::optional<IntentBatch> batch = intents->NextBatch(now)) {
        intents->OnAppendSent(batch->batch_id, now);
        ++appends;
      }
    }
  }
  state.counters["appends_per_s"] =
      appends / 60.0 * static_cast<double>(writers);
}
BENCHMARK(AppendsOfAllWriters)
    ->Arg(8)
    ->Arg(12)
    ->Arg(410)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace hornbeamcleat
