#include "src/move/latency_test.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

#include "src/move/evidence_limits.h"

namespace hornbeamcleat {
namespace {

// Slowdowns beyond the null hypothesis that are looked for.
constexpr std::array<double, 3> kSlowdowns = {1.15, 1.6, 3.0};
constexpr std::uint64_t kMinReference = 30;
constexpr double kMinVariance = 0.04;
constexpr double kRecentPrior = 50;
// Bounds the weight of a single slow answer.
constexpr double kMaxDeviation = 1.0;
constexpr double kMinLogBound = 0.05;

}  // namespace

LogTimes& LogTimes::operator+=(const LogTimes& other) {
  n += other.n;
  sum += other.sum;
  square_sum += other.square_sum;
  return *this;
}

void LatencyReference::Add(const LogTimes& old, double decay) {
  total_ += old;
  recent_n_ = recent_n_ * decay + static_cast<double>(old.n);
  recent_sum_ = recent_sum_ * decay + old.sum;
}

bool LatencyReference::Usable() const { return total_.n >= kMinReference; }

double LatencyReference::Mean() const {
  const double mean = total_.sum / static_cast<double>(total_.n);
  const double recent =
      (recent_sum_ + kRecentPrior * mean) / (recent_n_ + kRecentPrior);
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

void LatencyTest::Add(const LogTimes& fresh, const LatencyReference& old) {
  if (fresh.n == 0 || !old.Usable()) {
    return;
  }
  const double n = static_cast<double>(fresh.n);
  const double shift = fresh.sum / n - old.Mean();
  const double variance = old.Variance();
  const double beyond = std::min(shift - log_bound_ / 2, kMaxDeviation);
  std::vector<double> log_ratios;
  for (const double slowdown : kSlowdowns) {
    const double step = std::log(slowdown);
    log_ratios.push_back(n * step * (beyond - step / 2) / variance);
  }
  mixture_.Add(log_ratios);
  const double bounded = std::min(shift, kMaxDeviation);
  log_good_ += n * log_bound_ * (log_bound_ / 2 - bounded) / variance;
  log_good_ = std::min(log_good_, kMaxLogGood);
}

}  // namespace hornbeamcleat
