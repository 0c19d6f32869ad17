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

/// 83 VMs in 12 failure domains in front of 4 plain targets of 6 slots that can
/// serve 400 requests per second.
LoadReplayOptions FewTargets() {
  LoadReplayOptions options;
  options.vms = 83;
  options.domains = 12;
  options.targets = 4;
  options.slots = 6;
  options.target_queue = 24;
  options.is_engine = false;
  options.work = milliseconds(60);
  options.objective = milliseconds(300);
  options.per_second = 340;
  options.length = seconds(7);
  return options;
}

// What remote VMs reported a second ago says nothing of requests of 60 ms:
// slots stay unused while others get more requests than they have.
TEST(LoadReportsReplayTest, FewTargetsOfManyVmsWithReportsAreUsedMore) {
  LoadReplayOptions options = FewTargets();
  options.has_short_queues = false;
  const Total with = Replay("with", options);
  options.part_share = 0;
  const Total without = Replay("without", options);
  options.part_share = 0.5;
  const Total half = Replay("half", options);
  EXPECT_GT(with.used_slots, 1.25 * without.used_slots);
  EXPECT_LT(with.missed, 0.6 * without.missed);
  EXPECT_LT(with.refused_at_targets, 0.1 * without.refused_at_targets);
  EXPECT_GT(half.used_slots, without.used_slots);
  EXPECT_LT(half.missed, without.missed);
}

// A slot stays idle for the time that the news of its release and the next
// request need.
TEST(LoadReportsReplayTest, ShortQueuesAtFewTargetsKeepSlotsInUse) {
  for (const int domains : {3, 12}) {
    LoadReplayOptions options = FewTargets();
    options.domains = domains;
    const std::string name = std::to_string(domains) + " domains, ";
    const Total with = Replay(name + "queues", options);
    options.has_short_queues = false;
    const Total without = Replay(name + "no queues", options);
    EXPECT_GT(with.used_slots, 0.83) << "demand uses 0.85";
    EXPECT_LT(with.missed, 0.25 * without.missed);
    EXPECT_LE(with.refused_at_targets, 0.001 * with.requests);
  }
}

TEST(LoadReportsReplayTest, FalseLoadOfOneTargetCostsNoMoreThanThatTarget) {
  const LoadReplayOptions honest_options = FewTargets();
  const Total honest = Replay("honest", honest_options);
  LoadReplayOptions without_options = FewTargets();
  without_options.part_share = 0;
  const Total without = Replay("without", without_options);
  const TargetLoadReport stated_loads[] = {
      {0, 0, 6, std::nullopt},
      {0, 0, 1'000'000, std::nullopt},
      {1'000'000, 1'000'000, 6, std::nullopt},
      {3, 0, 0, std::nullopt}};
  for (const TargetLoadReport& stated : stated_loads) {
    LoadReplayOptions options = honest_options;
    options.stated = [stated](int target, const TargetLoadReport& load) {
      return target == 0 ? stated : load;
    };
    const Total lying =
        Replay(std::to_string(stated.running) + " stated", options);
    EXPECT_LT(lying.sent_to_first, 1.5 * honest.sent_to_first);
    EXPECT_GT(lying.sent_to_first, 0);
    EXPECT_LT(lying.missed, without.missed);
  }
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
