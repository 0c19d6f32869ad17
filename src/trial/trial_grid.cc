#include "src/trial/trial_grid.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace hornbeamcleat {
namespace {

bool IsExtra(FaultKind kind) {
  return kind == FaultKind::kOneInFiftyOneRoute ||
         kind == FaultKind::kFailsInBake;
}

void AddCell(const GridOptions& options, FaultKind fault,
             Disturbance disturbance, std::vector<TrialSpec>* out) {
  const int seeds =
      fault == FaultKind::kNone ? options.good_seeds : options.seeds;
  for (int n = 0; n < seeds; ++n) {
    TrialSpec spec = options.base;
    spec.fault = fault;
    spec.disturbance = disturbance;
    spec.seed = options.first_seed + out->size();
    out->push_back(spec);
  }
}

void AddGood(const TrialResult& result, GridFigures* out) {
  ++out->good;
  out->good_in_time += result.end == MovePhase::kDone ? 1 : 0;
  out->false_positives += result.withdrawn ? 1 : 0;
}

void AddBad(const TrialResult& result, GridFigures* out) {
  const double requests = static_cast<double>(result.requests);
  ++out->bad;
  out->bad_taken_back += result.end == MovePhase::kRolledBack ? 1 : 0;
  out->misses += result.end == MovePhase::kDone ? 1 : 0;
  out->max_bad_share = std::max(out->max_bad_share,
                                static_cast<double>(result.fresh) / requests);
  out->max_after_fault = std::max(
      out->max_after_fault, static_cast<double>(result.after_fault) / requests);
}

}  // namespace

std::vector<TrialSpec> MakeGrid(const GridOptions& options) {
  std::vector<TrialSpec> out;
  for (int fault = 0; fault < kFaultKinds; ++fault) {
    const FaultKind kind = static_cast<FaultKind>(fault);
    if (IsExtra(kind) && !options.extras) {
      continue;
    }
    for (int n = 0; n < kDisturbances; ++n) {
      const Disturbance disturbance = static_cast<Disturbance>(n);
      const bool extra = disturbance == Disturbance::kAll ||
                         disturbance == Disturbance::kLogDownAtEnd;
      if (!extra || options.extras) {
        AddCell(options, kind, disturbance, &out);
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

GridFigures Summarize(const std::vector<GridTrial>& trials) {
  GridFigures out;
  for (const GridTrial& trial : trials) {
    const TrialResult& result = trial.result;
    const bool decided =
        result.end == MovePhase::kDone || result.end == MovePhase::kRolledBack;
    ++out.trials;
    out.undecided += decided ? 0 : 1;
    out.unrecorded += decided && !result.recorded ? 1 : 0;
    out.after_withdrawal += result.after_withdrawal;
    if (trial.spec.fault == FaultKind::kNone) {
      AddGood(result, &out);
    } else {
      AddBad(result, &out);
    }
  }
  return out;
}

}  // namespace hornbeamcleat
