#include "src/move/latency_test.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

#include "src/move/evidence_limits.h"

namespace hornbeamcleat {
namespace {

// Alternatives: slowdowns in excess of the null hypothesis.
constexpr std::array<double, 3> kSlowdowns = {1.15, 1.6, 3.0};
constexpr std::uint64_t kMinReferenceSamples = 30;
constexpr double kMinVariance = 0.04;
constexpr double kRecentPriorSamples = 50;
// Limits the weight of a single slow response.
constexpr double kMaxDeviation = 1.0;  // on the log scale
constexpr double kMinLogBound = 0.05;

}  // namespace

LogTimes& LogTimes::operator+=(const LogTimes& other) {
  n += other.n;
  sum += other.sum;
  square_sum += other.square_sum;
  return *this;
}

void LatencyReference::Add(const LogTimes& baseline, double decay) {
  total_ += baseline;
  recent_n_ = recent_n_ * decay + static_cast<double>(baseline.n);
  recent_sum_ = recent_sum_ * decay + baseline.sum;
}

bool LatencyReference::IsUsable() const {
  return total_.n >= kMinReferenceSamples;
}

double LatencyReference::Mean() const {
  const double mean = total_.sum / static_cast<double>(total_.n);
  const double recent = (recent_sum_ + kRecentPriorSamples * mean) /
                        (recent_n_ + kRecentPriorSamples);
  return std::max(mean, recent);
}

double LatencyReference::Variance() const {
  const double n = static_cast<double>(total_.n);
  const double mean = total_.sum / n;
  return std::max(kMinVariance, total_.square_sum / n - mean * mean);
}

LatencyTest::LatencyTest(double max_ratio)
    : log_bound_(std::max(kMinLogBound, std::log(max_ratio))),
      mixture_(kSlowdowns.size()) {}

void LatencyTest::Add(const LogTimes& canary,
                      const LatencyReference& baseline) {
  if (canary.n == 0 || !baseline.IsUsable()) {
    return;
  }
  const double n = static_cast<double>(canary.n);
  const double shift = canary.sum / n - baseline.Mean();
  const double variance = baseline.Variance();
  const double beyond = std::min(shift - log_bound_ / 2, kMaxDeviation);
  std::vector<double> log_ratios;
  for (const double slowdown : kSlowdowns) {
    const double step = std::log(slowdown);
    log_ratios.push_back(n * step * (beyond - step / 2) / variance);
  }
  mixture_.Add(log_ratios);
  const double bounded = std::min(shift, kMaxDeviation);
  log_good_ratio_ += n * log_bound_ * (log_bound_ / 2 - bounded) / variance;
  log_good_ratio_ = std::min(log_good_ratio_, kMaxLogGood);
}

}  // namespace hornbeamcleat
