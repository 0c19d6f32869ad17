#include "src/serving/short_queue.h"

#include <gtest/gtest.h>

#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

TEST(ShortQueueTest, LengthCoversRefillTime) {
  const ShortQueue queue{milliseconds(20), milliseconds(60), milliseconds(300)};
  EXPECT_EQ(queue.Length(6), 2);
  EXPECT_EQ(queue.WaitAt(2, 6), milliseconds(20));
}

// Long work must not make requests wait at a target beyond a part of their
// objective.
TEST(ShortQueueTest, LengthKeepsWaitWithinQuarterOfObjective) {
  for (const int work_ms : {1, 10, 60, 150, 300, 2'000}) {
    const ShortQueue queue{milliseconds(1'000), milliseconds(work_ms),
                           milliseconds(300)};
    EXPECT_LE(queue.WaitAt(queue.Length(6), 6), milliseconds(75)) << work_ms;
    EXPECT_LE(queue.Length(6), 6);
  }
  EXPECT_EQ(
      (ShortQueue{milliseconds(1'000), milliseconds(2'000), milliseconds(300)})
          .Length(6),
      0);
}

TEST(ShortQueueTest, LengthWithoutMeasuredWorkOrObjectiveIsZero) {
  EXPECT_EQ(
      (ShortQueue{milliseconds(20), Duration(0), milliseconds(300)}).Length(6),
      0);
  EXPECT_EQ(
      (ShortQueue{milliseconds(20), milliseconds(60), Duration(0)}).Length(6),
      0);
  EXPECT_EQ((ShortQueue{milliseconds(20), milliseconds(60), milliseconds(300)})
                .Length(-1),
            0);
}

TEST(ShortQueueTest, PlainServiceObjectivesTakesShortestOfRoutes) {
  ServingConfig config;
  config.services = {{"plain"}, {"engine"}, {"unused"}, {"no_objective"}};
  config.services[1].is_engine = true;
  const auto add = [&config](int objective_ms, const char* a, const char* b) {
    ServingRoute route;
    route.objective = milliseconds(objective_ms);
    route.shares = {{a, 1}, {b, 1}};
    config.routes.push_back(route);
  };
  add(300, "plain", "engine");
  add(200, "plain", "no_objective");
  add(0, "no_objective", "unknown");
  EXPECT_EQ(PlainServiceObjectives(config),
            (std::map<std::string, Duration>{{"plain", milliseconds(200)}}));
}

}  // namespace
}  // namespace hornbeamcleat
