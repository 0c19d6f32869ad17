// Simulates version moves with fixed seeds in virtual time, using the decision
// code of the daemons and a fixed-step baseline, and prints tables or CSV.

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <string>
#include <vector>

#include "src/trial/trial_grid.h"

namespace hornbeamcleat {
namespace {

constexpr char kUsage[] =
    "usage: hornbeamcleat-moves [--seeds N] [--good-seeds N] [--first-seed N]\n"
    "  [--rate PER_SECOND] [--window-minutes N] [--bake-minutes N] [--jobs N]\n"
    "  [--extras] [--csv] [--failures]\n";
constexpr double kPercent = 100;
constexpr double kMinGoodInTime = 0.99;
constexpr double kMaxBadShare = 0.02;

struct Options {
  GridOptions grid;
  bool csv = false;
  bool failures = false;
};

bool ApplyOption(int key, const std::string& value, Options* out) {
  switch (key) {
    case 's':
      out->grid.seeds = std::stoi(value);
      return true;
    case 'g':
      out->grid.good_seeds = std::stoi(value);
      return true;
    case 'f':
      out->grid.first_seed = std::stoull(value);
      return true;
    case 'r':
      out->grid.base.rate = std::stod(value);
      return true;
    case 'w':
      out->grid.base.window = std::chrono::minutes(std::stoi(value));
      return true;
    case 'b':
      out->grid.base.bake_time = std::chrono::minutes(std::stoi(value));
      return true;
    case 'j':
      out->grid.jobs = std::stoi(value);
      return true;
    case 'x':
      out->grid.extras = true;
      return true;
    case 'c':
      out->csv = true;
      return true;
    case 'l':
      out->failures = true;
      return true;
    default:
      return false;
  }
}

bool ParseOptions(int argc, char** argv, Options* out) {
  const option long_options[] = {
      {"seeds", required_argument, nullptr, 's'},
      {"good-seeds", required_argument, nullptr, 'g'},
      {"first-seed", required_argument, nullptr, 'f'},
      {"rate", required_argument, nullptr, 'r'},
      {"window-minutes", required_argument, nullptr, 'w'},
      {"bake-minutes", required_argument, nullptr, 'b'},
      {"jobs", required_argument, nullptr, 'j'},
      {"extras", no_argument, nullptr, 'x'},
      {"csv", no_argument, nullptr, 'c'},
      {"failures", no_argument, nullptr, 'l'},
      {nullptr, 0, nullptr, 0}};
  int key = 0;
  while ((key = getopt_long(argc, argv, "", long_options, nullptr)) != -1) {
    if (!ApplyOption(key, optarg == nullptr ? "" : optarg, out)) {
      return false;
    }
  }
  return optind == argc;
}

void PrintRow(const std::string& name, const GridSummary& figures) {
  fmt::print(
      "| {:<23} | {:>6} | {:>7} | {:>7} | {:>9.2f} | {:>11.2f} | {:>10} | "
      "{:>9} | {:>10} | {:>5} | {:>6} |\n",
      name, figures.trials,
      fmt::format("{}/{}", figures.good_in_time, figures.good),
      fmt::format("{}/{}", figures.bad_rolled_back, figures.bad),
      figures.max_bad_share * kPercent, figures.max_after_fault * kPercent,
      figures.after_withdrawal, figures.undecided, figures.unrecorded,
      figures.false_positives, figures.misses);
}

void PrintHeader(const std::string& title) {
  fmt::print(
      "\n{}\n\n| {:<23} | trials | in time | back    | max bad % | since "
      "fault | after 1 s  | undecided | unrecorded | false | missed |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
      title, "fault / disturbance");
}

std::vector<GridTrial> Select(const std::vector<GridTrial>& trials, int fault,
                              int disturbance) {
  std::vector<GridTrial> out;
  for (const GridTrial& trial : trials) {
    if ((fault < 0 || static_cast<int>(trial.spec.fault) == fault) &&
        (disturbance < 0 ||
         static_cast<int>(trial.spec.disturbance) == disturbance)) {
      out.push_back(trial);
    }
  }
  return out;
}

void PrintTable(const std::string& title,
                const std::vector<GridTrial>& trials) {
  PrintHeader(title);
  for (int n = 0; n < kFaultKinds; ++n) {
    const std::vector<GridTrial> selected = Select(trials, n, -1);
    if (!selected.empty()) {
      PrintRow(FaultKindName(static_cast<FaultKind>(n)), Summarize(selected));
    }
  }
  for (int n = 0; n < kDisturbances; ++n) {
    const std::vector<GridTrial> selected = Select(trials, -1, n);
    if (!selected.empty()) {
      PrintRow(
          fmt::format("all, {}", DisturbanceName(static_cast<Disturbance>(n))),
          Summarize(selected));
    }
  }
  PrintRow("all", Summarize(trials));
}

void PrintTarget(const std::string& name, bool met) {
  fmt::print("{}: {}\n", name, met ? "met" : "NOT met");
}

void PrintTargets(const std::vector<GridTrial>& trials) {
  std::vector<GridTrial> grid_trials;
  std::copy_if(trials.begin(), trials.end(), std::back_inserter(grid_trials),
               [](const GridTrial& trial) { return InGrid(trial.spec); });
  const GridSummary figures = Summarize(grid_trials);
  fmt::print("\nTargets, over {} moves without the extras\n", figures.trials);
  PrintTarget("good versions in time, at least 99%",
              figures.good_in_time >= kMinGoodInTime * figures.good);
  PrintTarget("bad versions taken back, 100%",
              figures.bad_rolled_back == figures.bad);
  PrintTarget("bad version's share of the move's traffic, under 2% in each",
              figures.max_bad_share < kMaxBadShare);
  PrintTarget("requests later than 1 s after the withdrawal, none",
              figures.after_withdrawal == 0);
  PrintTarget("neither done nor rolled back by the deadline, none",
              figures.undecided == 0);
}

void PrintTrial(const GridTrial& trial) {
  const TrialResult& result = trial.result;
  fmt::print("{},{},{},{},{},{},{:.1f},{},{},{},{},{},\"{}\"\n",
             trial.spec.fixed_steps ? "fixed" : "automatic",
             FaultKindName(trial.spec.fault),
             DisturbanceName(trial.spec.disturbance), trial.spec.seed,
             MovePhaseName(result.end), result.recorded,
             ToSeconds(result.duration), result.requests, result.fresh,
             result.after_fault, result.after_withdrawal, result.withdrawn,
             result.reason);
}

void PrintCsv(const std::vector<GridTrial>& trials) {
  for (const GridTrial& trial : trials) {
    PrintTrial(trial);
  }
}

bool MissedTarget(const GridTrial& trial) {
  const TrialResult& result = trial.result;
  const bool good = trial.spec.fault == FaultKind::kNone;
  const MovePhase expected_phase =
      good ? MovePhase::kDone : MovePhase::kRolledBack;
  const bool exceeds_bad_share =
      !good && static_cast<double>(result.fresh) >=
                   kMaxBadShare * static_cast<double>(result.requests);
  return result.end != expected_phase || exceeds_bad_share ||
         result.after_withdrawal > 0;
}

void PrintFailures(const std::vector<GridTrial>& trials) {
  fmt::print("\nTrials short of a target\n");
  for (const GridTrial& trial : trials) {
    if (MissedTarget(trial)) {
      PrintTrial(trial);
    }
  }
}

std::vector<TrialSpec> MakeBaselineSpecs(std::vector<TrialSpec> specs) {
  for (TrialSpec& spec : specs) {
    spec.fixed_steps = true;
  }
  return specs;
}

int Main(int argc, char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, &options)) {
    fmt::print(stderr, "{}", kUsage);
    return EXIT_FAILURE;
  }
  const std::vector<TrialSpec> specs = MakeGrid(options.grid);
  const std::vector<GridTrial> trials = RunGrid(specs, options.grid.jobs);
  const std::vector<GridTrial> baseline =
      RunGrid(MakeBaselineSpecs(specs), options.grid.jobs);
  if (options.csv) {
    fmt::print(
        "policy,fault,disturbance,seed,end,recorded,seconds,requests,fresh,"
        "after_fault,after_withdrawal,withdrawn,reason\n");
    PrintCsv(trials);
    PrintCsv(baseline);
    return EXIT_SUCCESS;
  }
  PrintTable("Automatic", trials);
  PrintTable("Fixed steps by time", baseline);
  PrintTargets(trials);
  if (options.failures) {
    PrintFailures(trials);
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace hornbeamcleat

int main(int argc, char** argv) { return hornbeamcleat::Main(argc, argv); }
