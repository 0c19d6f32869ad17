#include "src/schedule/outlier_ejection.h"

#include <algorithm>

#include "src/schedule/target_table.h"

namespace hornbeamcleat {
namespace {

constexpr double kFaultRatioGain = 0.1;
constexpr int kConsecutiveFaultLimit = 3;
/// Excess over the mean fault ratio of the other targets that ejects a target.
constexpr double kMaxExcessFaultRatio = 0.3;
/// One target in this many may be ejected at a time.
constexpr std::size_t kTargetsPerEjection = 3;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(5);
constexpr int kMaxDoublings = 5;

}  // namespace

void OutlierEjection::OnSuccess(TargetState* target) {
  target->health.fault_ratio *= 1 - kFaultRatioGain;
  target->health.consecutive_faults = 0;
  target->health.ejections = 0;
}

bool OutlierEjection::OnFault(TargetState* target, const Pool& pool, Time now) {
  TargetHealth& health = target->health;
  health.fault_ratio += kFaultRatioGain * (1 - health.fault_ratio);
  ++health.consecutive_faults;
  const bool outlier =
      health.consecutive_faults >= kConsecutiveFaultLimit ||
      health.fault_ratio > MeanFaultRatio(pool, target) + kMaxExcessFaultRatio;
  if (health.ejected || !outlier || !MayEject(pool)) {
    return false;
  }
  health.ejected = true;
  health.ejected_until =
      now +
      kBaseEjectionTime * (1 << std::min(health.ejections, kMaxDoublings));
  ++health.ejections;
  return true;
}

OutlierEjection::Pool OutlierEjection::Tick(const Pool& pool, Time now) {
  Pool restored;
  for (TargetState* target : pool) {
    if (target->health.ejected && now >= target->health.ejected_until) {
      target->health.ejected = false;
      target->health.consecutive_faults = 0;
      target->health.fault_ratio = 0;
      target->limit.SlowStart();
      restored.push_back(target);
    }
  }
  return restored;
}

bool OutlierEjection::MayEject(const Pool& pool) {
  std::size_t ejected = 0;
  std::size_t open = 0;
  for (const TargetState* target : pool) {
    ejected += target->health.ejected ? 1 : 0;
    open += target->Open() ? 1 : 0;
  }
  return open > 1 && ejected + 1 <= std::max<std::size_t>(
                                        1, pool.size() / kTargetsPerEjection);
}

double OutlierEjection::MeanFaultRatio(const Pool& pool,
                                       const TargetState* except) {
  double sum = 0;
  int n = 0;
  for (const TargetState* target : pool) {
    if (target != except) {
      sum += target->health.fault_ratio;
      ++n;
    }
  }
  return n == 0 ? 1 : sum / n;
}

}  // namespace hornbeamcleat
