#ifndef HORNBEAMCLEAT_SRC_LOAD_REPORT_H_
#define HORNBEAMCLEAT_SRC_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/load/engine_work.h"
#include "src/load/experiment.h"
#include "src/load/load_runner.h"

namespace hornbeamcleat {

/// Exact quantiles of a sample, in milliseconds; 0 of an empty one.
struct Quantiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double max = 0;

  bool operator==(const Quantiles&) const = default;
};

/// How the requests of one tier, or of all, fared.
struct TierReport {
  std::int64_t offered = 0;
  std::int64_t whole_in_time = 0;
  std::int64_t whole_late = 0;
  std::int64_t refused = 0;
  std::int64_t wrong = 0;
  std::int64_t lost = 0;
  double offered_weight = 0;
  double goodput_weight = 0;  ///< of those whole and in time
  Quantiles first_part;       ///< from the intended send time
  std::map<std::string, std::int64_t> refusals;  ///< by "outcome/reason"

  /// Share of the offered weight that was answered whole and in time.
  double GoodputRatio() const;

  bool operator==(const TierReport&) const = default;
};

/// Summary of a run.
struct RunReport {
  std::map<std::string, TierReport> tiers;  ///< by "rank name"
  TierReport total;
  Quantiles between_parts;
  double goodput_per_second = 0;  ///< weight a second of arrivals
  std::int64_t inversions = 0;  ///< refusals that a lower tier was served past
  std::int64_t resumes = 0;
  EngineWork work;
  double wasted_prefill_ratio = 0;

  bool operator==(const RunReport&) const = default;
};

/// Sums up a run.
/// @param work what the engines did during the run
RunReport MakeReport(const Experiment& experiment, const LoadResult& result,
                     const EngineWork& work);

/// Report for a terminal.
std::string FormatReport(const RunReport& report);

/// One row for each request, with a heading. Times in milliseconds since the
/// start.
std::string FormatCsv(const Experiment& experiment, const LoadResult& result);

/// Quantiles of `microseconds`.
Quantiles MakeQuantiles(std::vector<std::uint32_t> microseconds);

/// Refusals for want of capacity while a lower tier's request of the same
/// model, sent at most the window later, was served.
std::int64_t CountInversions(const Experiment& experiment,
                             const std::vector<RequestRecord>& records);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_REPORT_H_
