#ifndef HORNBEAMCLEAT_SRC_TRIAL_TRIAL_GRID_H_
#define HORNBEAMCLEAT_SRC_TRIAL_TRIAL_GRID_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/trial/move_trial.h"

namespace hornbeamcleat {

/// Options of a grid of trials, which has a cell for each combination of fault
/// and disturbance.
struct GridOptions {
  int seeds = 8;  ///< trials per cell with a faulty version
  /// Trials per cell with a good version, whose rates take more trials to
  /// estimate.
  int good_seeds = 32;
  std::uint64_t first_seed = 1;
  TrialSpec base;       ///< rate, window and bake time of all trials
  bool extras = false;  ///< include cells for which no target is set
  int jobs = 4;         ///< threads

  bool operator==(const GridOptions&) const = default;
};

/// A trial and its result.
struct GridTrial {
  TrialSpec spec;
  TrialResult result;

  bool operator==(const GridTrial&) const = default;
};

/// Summary of a set of trials. Shares are relative to the move's requests, from
/// its acceptance to its end.
struct GridSummary {
  int trials = 0;
  int good = 0;
  int good_in_time = 0;
  int false_positives = 0;  ///< good versions that were withdrawn
  int bad = 0;
  int bad_rolled_back = 0;
  int misses = 0;              ///< bad versions whose move completed
  double max_bad_share = 0;    ///< greatest over the bad versions' trials
  double max_after_fault = 0;  ///< as above, of requests since the fault began
  std::uint64_t after_withdrawal = 0;
  int undecided = 0;
  int unrecorded = 0;  ///< decided, but the record came after the deadline

  bool operator==(const GridSummary&) const = default;
};

/// Whether targets are set for the trial's cell; false for the extras.
bool InGrid(const TrialSpec& spec);

/// Lists the trials of the grid in a fixed order.
std::vector<TrialSpec> MakeGrid(const GridOptions& options);

/// Runs `specs` on `jobs` threads and returns the results in the same order.
std::vector<GridTrial> RunGrid(const std::vector<TrialSpec>& specs, int jobs);

GridSummary Summarize(const std::vector<GridTrial>& trials);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_TRIAL_GRID_H_
