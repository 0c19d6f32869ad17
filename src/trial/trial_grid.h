#ifndef HORNBEAMCLEAT_SRC_TRIAL_TRIAL_GRID_H_
#define HORNBEAMCLEAT_SRC_TRIAL_TRIAL_GRID_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/trial/move_trial.h"

namespace hornbeamcleat {

/// Extent of a grid of trials.
struct GridOptions {
  int seeds = 8;  ///< trials in each cell of a bad version
  /// Trials in each cell of the good version, whose rates need more of them.
  int good_seeds = 32;
  std::uint64_t first_seed = 1;
  TrialSpec base;       ///< rate, window and bake time of all
  bool extras = false;  ///< also faults and disturbances without a target
  int jobs = 4;         ///< threads

  bool operator==(const GridOptions&) const = default;
};

/// One trial with its result.
struct GridTrial {
  TrialSpec spec;
  TrialResult result;

  bool operator==(const GridTrial&) const = default;
};

/// Figures over some trials. Shares are parts of the move's requests, from its
/// acceptance to its end.
struct GridSummary {
  int trials = 0;
  int good = 0;
  int good_in_time = 0;
  int false_positives = 0;  ///< good versions withdrawn for their evidence
  int bad = 0;
  int bad_rolled_back = 0;
  int misses = 0;              ///< bad versions that were done
  double max_bad_share = 0;    ///< greatest over the bad versions' trials
  double max_after_fault = 0;  ///< the same, counted since the fault began
  std::uint64_t after_withdrawal = 0;
  int undecided = 0;
  int unrecorded = 0;  ///< decided, but the record came after the deadline

  bool operator==(const GridSummary&) const = default;
};

/// Whether a trial is of the grid proper, for which the targets are set, and
/// not one of the extras.
bool InGrid(const TrialSpec& spec);

/// Trials of the grid, in a fixed order.
std::vector<TrialSpec> MakeGrid(const GridOptions& options);

/// Runs `specs` on `jobs` threads; results in the same order.
std::vector<GridTrial> RunGrid(const std::vector<TrialSpec>& specs, int jobs);

/// Figures over `trials`.
GridSummary Summarize(const std::vector<GridTrial>& trials);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_TRIAL_GRID_H_
