#include "src/schedule/outlier_ejection.h"

#include <algorithm>

#include "src/schedule/target_table.h"

namespace hornbeamcleat {
namespace {

constexpr double kGain = 0.1;
constexpr int kFaultsInARow = 3;
/// Fault ratio above the mean of the others that ejects a target.
constexpr double kExcess = 0.3;
/// One target in this many may be out.
constexpr std::size_t kPoolPerEjected = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(5);
constexpr int kMaxDoublings = 5;

}  // namespace

void OutlierEjection::OnSuccess(TargetState* target) {
  target->health.fault_ratio *= 1 - kGain;
  target->health.faults_in_a_row = 0;
  target->health.ejections = 0;
}

bool OutlierEjection::OnFault(TargetState* target, const Pool& pool, Time now) {
  TargetHealth& health = target->health;
  health.fault_ratio += kGain * (1 - health.fault_ratio);
  ++health.faults_in_a_row;
  const bool outlier =
      health.faults_in_a_row >= kFaultsInARow ||
      health.fault_ratio > MeanFaultRatio(pool, target) + kExcess;
  if (health.ejected || !outlier || !MayEject(pool)) {
    return false;
  }
  health.ejected = true;
  health.until =
      now + kFirstEjection * (1 << std::min(health.ejections, kMaxDoublings));
  ++health.ejections;
  return true;
}

OutlierEjection::Pool OutlierEjection::Tick(const Pool& pool, Time now) {
  Pool back;
  for (TargetState* target : pool) {
    if (target->health.ejected && now >= target->health.until) {
      target->health.ejected = false;
      target->health.faults_in_a_row = 0;
      target->health.fault_ratio = 0;
      target->limit.SlowStart();
      back.push_back(target);
    }
  }
  return back;
}

bool OutlierEjection::MayEject(const Pool& pool) {
  std::size_t ejected = 0;
  std::size_t open = 0;
  for (const TargetState* target : pool) {
    ejected += target->health.ejected ? 1 : 0;
    open += target->Open() ? 1 : 0;
  }
  return open > 1 &&
         ejected + 1 <= std::max<std::size_t>(1, pool.size() / kPoolPerEjected);
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
