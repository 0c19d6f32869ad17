#include "hornbeamcleat/move/move_admission.h"

#include <fmt/format.h>

#include "hornbeamcleat/move/move_controller.h"
#include "src/move/move_schedule.h"

namespace hornbeamcleat {
namespace {

constexpr std::chrono::milliseconds kResolution{1};

// Searches for the earliest deadline from below, since the reserve for rolling
// a move back grows with the length of the move.
WallTime EarliestDeadline(MoveSpec spec, WallTime now, WallTime done,
                          int steps) {
  spec.deadline = done;
  for (;;) {
    const MoveSchedule schedule = MoveSchedule::Make(spec, now, steps);
    if (schedule.rollback_by > done) {
      return spec.deadline;
    }
    spec.deadline += (done - schedule.rollback_by) + kResolution;
  }
}

}  // namespace

Duration LoadTime(const LoadPlan& plan) {
  if (plan.store_bytes_per_second <= 0) {
    return Duration{0};
  }
  return FromSeconds(static_cast<double>(plan.weight_bytes) /
                     static_cast<double>(plan.store_bytes_per_second));
}

MoveAdmission AdmitMove(const MoveSpec& spec, WallTime now,
                        const LoadPlan& plan) {
  const WallTime done = EarliestEnd(spec, now, plan.targets, LoadTime(plan));
  const int steps = static_cast<int>(MoveSteps(spec, plan.targets).size());
  MoveAdmission out;
  out.earliest_deadline = EarliestDeadline(spec, now, done, steps);
  out.admitted = spec.deadline >= out.earliest_deadline;
  if (!out.admitted) {
    const Duration needed = out.earliest_deadline - now;
    out.reason = fmt::format(
        "loading {} targets and {} steps with the bake take {:.0f} s at least",
        plan.targets, steps, ToSeconds(needed));
  }
  return out;
}

}  // namespace hornbeamcleat
