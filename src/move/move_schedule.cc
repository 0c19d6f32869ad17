#include "src/move/move_schedule.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr int kPermille = 1'000;
constexpr int kMinLoadPermille = 50;
constexpr int kMaxLoadPermille = 300;

// Divisors of the time from a move's start to its deadline.
constexpr int kReserveDivisor = 50;
constexpr int kStepDivisor = 48;
constexpr int kSlackDivisor = 6;
constexpr Duration kMaxReserve = std::chrono::seconds(30);
constexpr Duration kMaxGrowthStep = std::chrono::minutes(5);
constexpr Duration kMaxSlack = std::chrono::minutes(30);

WallTime AddFloored(WallTime when, Duration by) {
  return when + std::chrono::floor<std::chrono::milliseconds>(by);
}

}  // namespace

std::vector<int> MoveSteps(const MoveSpec& spec, int targets) {
  if (!spec.steps_permille.empty()) {
    return spec.steps_permille;
  }
  const int load_share = std::clamp(kPermille / std::max(1, targets),
                                    kMinLoadPermille, kMaxLoadPermille);
  std::vector<int> steps = {kCanaryPermille, load_share};
  for (const int share : {250, 500, kBakePermille}) {
    if (share > load_share) {
      steps.push_back(share);
    }
  }
  return steps;
}

MoveSchedule MoveSchedule::Make(const MoveSpec& spec, WallTime started,
                                int steps) {
  const Duration window = spec.deadline - started;
  MoveSchedule out;
  const Duration reserve =
      std::clamp(window / kReserveDivisor, kMinStep, kMaxReserve);
  out.rollback_by = AddFloored(spec.deadline, -reserve);
  out.growth_step = std::clamp(window / kStepDivisor, kMinStep, kMaxGrowthStep);
  out.bake = spec.bake_time;
  out.slack = std::clamp(window / kSlackDivisor, Duration{0}, kMaxSlack);
  out.steps = steps;
  return out;
}

WallTime MoveSchedule::FirstShareEnd() const {
  const int growing = std::max(0, steps - 2);
  return AddFloored(rollback_by, -(bake + slack + growing * growth_step));
}

Duration MoveSchedule::MinRemaining(int index) const {
  return std::max(0, steps - 1 - index) * kMinStep + bake;
}

Duration MoveSchedule::StepLength(int index, WallTime since) const {
  const int left = std::max(1, steps - 1 - index);
  const Duration room = (rollback_by - since) - bake;
  return std::clamp(room / (left + 1), kMinStep, growth_step);
}

}  // namespace hornbeamcleat
