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

constexpr Duration kEngineWait = std::chrono::seconds(15);
constexpr int kNotWhole = 1;

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
              "Runs an experiment against entries, or against engines.",
              "EXPERIMENT");
  flags.Add("entry", &options->targets.entries, "IP:PORT of an entry.");
  flags.Add("engine", &options->targets.engines,
            "IP:PORT of a stand-in engine, for faults and work done.");
  flags.Add("direct", &options->targets.direct,
            "Send to the engines in turn, without entries.");
  flags.Add("rate", &options->rate, "Factor of the experiment's rate.");
  flags.Add("seed", &options->seed, "Seed; 0: the experiment's.");
  flags.Add("csv", &options->csv, "File to write one row a request to.");
  flags.Add("all-whole", &options->all_whole,
            "Exit 1 unless every answer was whole.");
  return flags;
}

Experiment LoadExperiment(const Options& options) {
  std::ifstream in(options.experiment);
  if (!in) {
    throw Error("read file", options.experiment, "it can't be opened");
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
    throw Error("parse command line", "", "one EXPERIMENT file is needed");
  }
  options.experiment = flags.Operands().front();
  options.targets.progress = isatty(STDERR_FILENO) != 0;
  const Experiment experiment = LoadExperiment(options);
  const std::vector<std::string>& engines = options.targets.engines;
  const EngineWork before = ReadEngineWork(engines, Duration(0));
  const LoadResult result = RunLoad(experiment, options.targets);
  const EngineWork after = ReadEngineWork(engines, kEngineWait);
  const RunReport report =
      MakeReport(experiment, result, Subtract(after, before));
  fmt::print("{}", FormatReport(report));
  if (!options.csv.empty()) {
    std::ofstream(options.csv) << FormatCsv(experiment, result);
  }
  const std::int64_t whole =
      report.total.whole_in_time + report.total.whole_late;
  return options.all_whole && whole != report.total.offered ? kNotWhole : 0;
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
