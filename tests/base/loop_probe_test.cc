#include "src/base/loop_probe.h"

#include <gtest/gtest.h>

#include <memory>

#include "hornbeamcleat/base/clock.h"
#include "src/base/poll_loop.h"

namespace hornbeamcleat {
namespace {

using std::chrono::seconds;

class LoopProbeTest : public testing::Test {
 protected:
  void RunPosted() { loop_->RunOnce(Duration(0)); }

  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  LoopProbe probe_{loop_.get()};
  const Time start_ = clock_->Now();
};

TEST_F(LoopProbeTest, LoopThatRunsHasNoDelay) {
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(probe_.Check(start_ + seconds(2 * i)), Duration(0));
    RunPosted();
  }
}

TEST_F(LoopProbeTest, LoopThatStandsStillHasGrowingDelayUntilItRuns) {
  EXPECT_EQ(probe_.Check(start_), Duration(0));
  EXPECT_EQ(probe_.Check(start_ + seconds(2)), seconds(2));
  EXPECT_EQ(probe_.Check(start_ + seconds(4)), seconds(4));
  RunPosted();
  EXPECT_EQ(probe_.Check(start_ + seconds(6)), Duration(0));
}

}  // namespace
}  // namespace hornbeamcleat
