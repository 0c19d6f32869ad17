#include "src/move/fault_test.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

#include "src/move/evidence_limits.h"

namespace hornbeamcleat {
namespace {

// Alternatives: ratios of the new version's fault ratio to the old one's.
constexpr std::array<double, 4> kFaultFactors = {4, 10, 40, 200};
// Pseudo-count of requests with one fault among them.
constexpr double kPriorRequests = 500;
constexpr double kRecentPriorRequests = 50;
constexpr double kMinRatio = 1e-4;
constexpr double kMaxRatio = 0.5;

}  // namespace

FaultTest::FaultTest(double max_excess)
    : max_excess_(max_excess), mixture_(kFaultFactors.size()) {}

void FaultTest::AddRecentCounts(const FaultCount& count, double decay,
                                Recent* recent) {
  recent->requests =
      recent->requests * decay + static_cast<double>(count.requests);
  recent->faults = recent->faults * decay + static_cast<double>(count.faults);
}

double FaultTest::BaselineRatio() const {
  const double long_term =
      (static_cast<double>(baseline_.faults) + 1) /
      (static_cast<double>(baseline_.requests) + kPriorRequests);
  const double recent =
      (recent_baseline_.faults + kRecentPriorRequests * long_term) /
      (recent_baseline_.requests + kRecentPriorRequests);
  return std::clamp(std::max(long_term, recent), kMinRatio, kMaxRatio);
}

void FaultTest::Add(const FaultCount& canary, const FaultCount& baseline,
                    double decay) {
  AddRecentCounts(baseline, decay, &recent_baseline_);
  AddRecentCounts(canary, decay, &recent_canary_);
  baseline_.requests += baseline.requests;
  baseline_.faults += baseline.faults;
  canary_.requests += canary.requests;
  canary_.faults += canary.faults;
  const double requests = static_cast<double>(canary.requests);
  const double faults = static_cast<double>(canary.faults);
  const double ratio = BaselineRatio();
  std::vector<double> log_ratios;
  for (const double factor : kFaultFactors) {
    const double worse = std::min(factor, 1 / ratio);
    log_ratios.push_back(faults * std::log(worse) -
                         requests * ratio * (worse - 1));
  }
  mixture_.Add(log_ratios);
  const double bad_ratio = ratio + max_excess_;
  log_good_ratio_ +=
      requests * max_excess_ - faults * std::log(bad_ratio / ratio);
  log_good_ratio_ = std::min(log_good_ratio_, kMaxLogGood);
}

bool FaultTest::ExcessSeen() const {
  const double overall =
      static_cast<double>(canary_.faults) /
      std::max<double>(1, static_cast<double>(canary_.requests));
  const double recent =
      recent_canary_.faults / std::max(1.0, recent_canary_.requests);
  return std::max(overall, recent) >= BaselineRatio() + max_excess_ / 2;
}

}  // namespace hornbeamcleat
