#include <gtest/gtest.h>

#include <cstdio>
#include <optional>
#include <string>

#include "tests/serving/load_replay.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// 30 VMs in front of 90 engines that differ in speed by a factor of five. Each
/// is 2.5 times as slow for 600 ms at a time, 15% of the time.
LoadReplayOptions SlowPhases() {
  LoadReplayOptions options;
  options.speed_ratio = 5;
  options.first_event = milliseconds(25);
  options.work = milliseconds(400);
  options.objective = milliseconds(170);
  options.per_second = 525;
  options.slow_factor = 2.5;
  options.slow_time = milliseconds(600);
  options.slow_share = 0.15;
  options.length = seconds(12);
  return options;
}

/// Sum over several seeds.
struct Total {
  int requests = 0;
  int missed = 0;  ///< late or refused
  int refused_at_targets = 0;
  int sent_to_first = 0;  ///< target
  double used_slots = 0;  ///< mean
};

Total Replay(const std::string& name, LoadReplayOptions options) {
  constexpr int kSeeds = 4;
  Total total;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    options.seed = static_cast<std::uint32_t>(seed);
    const LoadReplayResult result = ReplayLoad(options);
    total.requests += result.requests;
    total.missed += result.late + result.refused;
    total.refused_at_targets += result.refused_at_targets;
    total.sent_to_first += result.sent[0];
    total.used_slots += result.used_slots / kSeeds;
  }
  std::printf("%s: requests=%d missed=%d full=%d first=%d used=%.3f\n",
              name.c_str(), total.requests, total.missed,
              total.refused_at_targets, total.sent_to_first, total.used_slots);
  return total;
}

// Without reports, a target's slow phase is over by the time that its learned
// slowness shows it.
TEST(LoadReportsReplayTest, SlowPhasesWithReportsMissFewerObjectives) {
  LoadReplayOptions options = SlowPhases();
  const Total with = Replay("with", options);
  options.part_share = 0;
  const Total without = Replay("without", options);
  options.part_share = 0.5;
  const Total half = Replay("half", options);
  EXPECT_LT(with.missed, 0.9 * without.missed);
  EXPECT_LT(half.missed, 0.95 * without.missed);
}

// A target that states work times unrelated to its answers must neither attract
// the requests of all VMs nor cost objectives.
TEST(LoadReportsReplayTest, FalseWorkTimesOfOneTargetChangeLittle) {
  const LoadReplayOptions honest_options = SlowPhases();
  const Total honest = Replay("honest", honest_options);
  for (const double work_time : {0.0001, 0.6, 1.0, 3.0, 1e6}) {
    LoadReplayOptions options = honest_options;
    options.stated = [work_time](int target, TargetLoadReport load) {
      if (target == 0) {
        load.work_time = work_time;
      }
      return load;
    };
    const Total lying = Replay(std::to_string(work_time), options);
    EXPECT_LT(lying.sent_to_first, 1.5 * honest.sent_to_first);
    EXPECT_GT(lying.sent_to_first, 0.5 * honest.sent_to_first);
    EXPECT_LT(lying.missed, 1.3 * honest.missed);
  }
}

// Stating an idle target in turn with a busy one is the worst case of a figure
// that is not related to the answers.
TEST(LoadReportsReplayTest, AlternatingFalseWorkTimesChangeLittle) {
  const Total honest = Replay("honest", SlowPhases());
  LoadReplayOptions options = SlowPhases();
  options.stated = [n = 0](int target, TargetLoadReport load) mutable {
    if (target == 0) {
      load.work_time = ++n % 2 == 0 ? 0.2 : 12;
    }
    return load;
  };
  const Total lying = Replay("alternating", options);
  EXPECT_LT(lying.sent_to_first, 2 * honest.sent_to_first);
  EXPECT_LT(lying.missed, 1.3 * honest.missed);
}

// After a restart, reports and statistics of the earlier start are void.
TEST(LoadReportsReplayTest, RestartedTargetGetsItsShareAgain) {
  LoadReplayOptions options = SlowPhases();
  options.restart_at = seconds(5);
  const Total with = Replay("with", options);
  options.part_share = 0;
  const Total without = Replay("without", options);
  EXPECT_GT(with.sent_to_first, 0.7 * without.sent_to_first);
  EXPECT_LT(with.sent_to_first, 1.5 * without.sent_to_first);
  EXPECT_LT(with.missed, without.missed);
}

TEST(LoadReportsReplayTest, MissingReportsLeaveDecisionsAsTheyWere) {
  LoadReplayOptions options = SlowPhases();
  options.part_share = 0;
  const Total without = Replay("without", options);
  options.part_share = 1;
  options.stated = [](int, const TargetLoadReport&) {
    return std::optional<TargetLoadReport>();
  };
  const Total missing = Replay("missing", options);
  EXPECT_EQ(missing.sent_to_first, without.sent_to_first);
  EXPECT_EQ(missing.missed, without.missed);
}

}  // namespace
}  // namespace hornbeamcleat
