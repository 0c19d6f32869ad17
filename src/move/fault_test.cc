#include "src/move/fault_test.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

#include "src/move/evidence_limits.h"

namespace hornbeamcleat {
namespace {

// Ratios of the new version's faults to the old one's that are looked for.
constexpr std::array<double, 4> kFaultFactors = {4, 10, 40, 200};
constexpr double kPriorEnds = 500;  // weight of one assumed fault
constexpr double kRecentPriorEnds = 50;
constexpr double kMinRatio = 1e-4;
constexpr double kMaxRatio = 0.5;

}  // namespace

FaultTest::FaultTest(double max_excess)
    : max_excess_(max_excess), mixture_(kFaultFactors.size()) {}

void FaultTest::AddRecent(const FaultCount& count, double decay,
                          Recent* recent) {
  recent->ends = recent->ends * decay + static_cast<double>(count.ends);
  recent->faults = recent->faults * decay + static_cast<double>(count.faults);
}

double FaultTest::OldRatio() const {
  const double long_term = (static_cast<double>(old_.faults) + 1) /
                           (static_cast<double>(old_.ends) + kPriorEnds);
  const double recent = (recent_old_.faults + kRecentPriorEnds * long_term) /
                        (recent_old_.ends + kRecentPriorEnds);
  return std::clamp(std::max(long_term, recent), kMinRatio, kMaxRatio);
}

void FaultTest::Add(const FaultCount& fresh, const FaultCount& old,
                    double decay) {
  AddRecent(old, decay, &recent_old_);
  AddRecent(fresh, decay, &recent_fresh_);
  old_.ends += old.ends;
  old_.faults += old.faults;
  fresh_.ends += fresh.ends;
  fresh_.faults += fresh.faults;
  const double n = static_cast<double>(fresh.ends);
  const double faults = static_cast<double>(fresh.faults);
  const double ratio = OldRatio();
  std::vector<double> log_ratios;
  for (const double factor : kFaultFactors) {
    const double worse = std::min(factor, 1 / ratio);
    log_ratios.push_back(faults * std::log(worse) - n * ratio * (worse - 1));
  }
  mixture_.Add(log_ratios);
  const double bad_ratio = ratio + max_excess_;
  log_good_ += n * max_excess_ - faults * std::log(bad_ratio / ratio);
  log_good_ = std::min(log_good_, kMaxLogGood);
}

bool FaultTest::ExcessSeen() const {
  const double overall = static_cast<double>(fresh_.faults) /
                         std::max<double>(1, static_cast<double>(fresh_.ends));
  const double recent =
      recent_fresh_.faults / std::max(1.0, recent_fresh_.ends);
  return std::max(overall, recent) >= OldRatio() + max_excess_ / 2;
}

}  // namespace hornbeamcleat
