#include "src/trial/trial_grid.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace hornbeamcleat {
namespace {

void AddCell(const GridOptions& options, const TrialSpec& cell,
             std::vector<TrialSpec>* out) {
  const int seeds =
      cell.fault == FaultKind::kNone ? options.good_seeds : options.seeds;
  for (int n = 0; n < seeds; ++n) {
    TrialSpec spec = cell;
    spec.seed = options.first_seed + out->size();
    out->push_back(spec);
  }
}

void AddGoodVersion(const TrialResult& result, GridSummary* out) {
  ++out->good;
  out->good_in_time += result.end == MovePhase::kDone ? 1 : 0;
  out->false_positives += result.withdrawn ? 1 : 0;
}

void AddBadVersion(const TrialResult& result, GridSummary* out) {
  const double requests = static_cast<double>(result.requests);
  ++out->bad;
  out->bad_rolled_back += result.end == MovePhase::kRolledBack ? 1 : 0;
  out->misses += result.end == MovePhase::kDone ? 1 : 0;
  out->max_bad_share = std::max(out->max_bad_share,
                                static_cast<double>(result.fresh) / requests);
  out->max_after_fault = std::max(
      out->max_after_fault, static_cast<double>(result.after_fault) / requests);
}

}  // namespace

bool InGrid(const TrialSpec& spec) {
  return spec.fault != FaultKind::kOneInFiftyOneRoute &&
         spec.fault != FaultKind::kFailsInBake &&
         spec.disturbance != Disturbance::kAll &&
         spec.disturbance != Disturbance::kLogDownAtEnd;
}

std::vector<TrialSpec> MakeGrid(const GridOptions& options) {
  std::vector<TrialSpec> out;
  for (int fault = 0; fault < kFaultKinds; ++fault) {
    for (int n = 0; n < kDisturbances; ++n) {
      TrialSpec cell = options.base;
      cell.fault = static_cast<FaultKind>(fault);
      cell.disturbance = static_cast<Disturbance>(n);
      if (options.extras || InGrid(cell)) {
        AddCell(options, cell, &out);
      }
    }
  }
  return out;
}

std::vector<GridTrial> RunGrid(const std::vector<TrialSpec>& specs, int jobs) {
  std::vector<GridTrial> out(specs.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t n = next++; n < specs.size(); n = next++) {
      out[n] = {specs[n], RunTrial(specs[n])};
    }
  };
  std::vector<std::jthread> threads;
  threads.reserve(static_cast<std::size_t>(jobs));
  for (int n = 0; n < jobs; ++n) {
    threads.emplace_back(work);
  }
  threads.clear();
  return out;
}

GridSummary Summarize(const std::vector<GridTrial>& trials) {
  GridSummary out;
  for (const GridTrial& trial : trials) {
    const TrialResult& result = trial.result;
    const bool decided =
        result.end == MovePhase::kDone || result.end == MovePhase::kRolledBack;
    ++out.trials;
    out.undecided += decided ? 0 : 1;
    out.unrecorded += decided && !result.recorded ? 1 : 0;
    out.after_withdrawal += result.after_withdrawal;
    if (trial.spec.fault == FaultKind::kNone) {
      AddGoodVersion(result, &out);
    } else {
      AddBadVersion(result, &out);
    }
  }
  return out;
}

}  // namespace hornbeamcleat
