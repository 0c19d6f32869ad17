#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <string>

#include "hornbeamcleat/base/error.h"
#include "src/ctl/flags.h"
#include "src/load/report.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kEngineTimeout = std::chrono::seconds(15);
constexpr int kExitIncomplete = 1;

struct Options {
  std::string experiment;
  std::string csv;
  double rate = 1;
  std::int64_t seed = 0;
  bool all_whole = false;
  LoadTargets targets;
};

Flags MakeFlags(Options* options) {
  Flags flags("hornbeamcleat-load",
              "Runs a load experiment against entries or engines.",
              "EXPERIMENT");
  flags.Add("entry", &options->targets.entries, "IP:PORT of an entry.");
  flags.Add("engine", &options->targets.engines,
            "IP:PORT of a fake engine, for fault injection and work counters.");
  flags.Add("direct", &options->targets.direct,
            "Send to the engines round-robin, bypassing the entries.");
  flags.Add("rate", &options->rate,
            "Multiplier of the experiment's request rate.");
  flags.Add("seed", &options->seed,
            "Random seed; 0: the seed of the experiment.");
  flags.Add("csv", &options->csv, "Output file with one row per request.");
  flags.Add("all-whole", &options->all_whole,
            "Exit with 1 unless all responses are complete.");
  return flags;
}

Experiment LoadExperiment(const Options& options) {
  std::ifstream in(options.experiment);
  if (!in) {
    throw Error("read file", options.experiment, "cannot open file");
  }
  const std::string text{std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>()};
  Experiment out = ParseExperiment(text);
  out.arrivals.per_second *= options.rate;
  if (options.seed != 0) {
    out.seed = static_cast<std::uint64_t>(options.seed);
  }
  return out;
}

EngineWork Subtract(const EngineWork& after, const EngineWork& before) {
  EngineWork out = after;
  out.requests -= before.requests;
  out.repeated_ids -= before.repeated_ids;
  out.prefill_tokens -= before.prefill_tokens;
  out.generated_tokens -= before.generated_tokens;
  return out;
}

int Run(int argc, char** argv) {
  Options options;
  Flags flags = MakeFlags(&options);
  if (flags.Parse(argc, argv) == Flags::Next::kExit) {
    return 0;
  }
  if (flags.Operands().size() != 1) {
    throw Error("parse command line", "",
                "expected exactly one EXPERIMENT file");
  }
  options.experiment = flags.Operands().front();
  options.targets.progress = isatty(STDERR_FILENO) != 0;
  const Experiment experiment = LoadExperiment(options);
  const std::vector<std::string>& engines = options.targets.engines;
  const EngineWork before = ReadEngineWork(engines, Duration(0));
  const LoadResult result = RunLoad(experiment, options.targets);
  const EngineWork after = ReadEngineWork(engines, kEngineTimeout);
  const RunReport report =
      MakeReport(experiment, result, Subtract(after, before));
  fmt::print("{}", FormatReport(report));
  if (!options.csv.empty()) {
    std::ofstream(options.csv) << FormatCsv(experiment, result);
  }
  const std::int64_t whole =
      report.total.whole_in_time + report.total.whole_late;
  return options.all_whole && whole != report.total.offered ? kExitIncomplete
                                                            : 0;
}

}  // namespace
}  // namespace hornbeamcleat

int main(int argc, char** argv) {
  try {
    return hornbeamcleat::Run(argc, argv);
  } catch (const std::exception& e) {
    fmt::print(stderr, "hornbeamcleat-load: {}\n", e.what());
    return 2;
  }
}
