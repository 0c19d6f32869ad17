#include "src/serving/stream_pauses.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class StreamPausesTest : public testing::Test {
 protected:
  void Add(int streams, Duration longest) {
    for (int i = 0; i < streams; ++i) {
      pauses_.Add(longest);
    }
  }

  StreamPauses pauses_;
};

TEST_F(StreamPausesTest, StallLimitOfFewStreamsIsUnknown) {
  Add(4, milliseconds(100));
  EXPECT_EQ(pauses_.StallLimit(), std::nullopt);
}

TEST_F(StreamPausesTest, StallLimitWithLongPausesInAFifthIsThatOfTheOthers) {
  Add(40, milliseconds(100));
  Add(10, milliseconds(900));
  EXPECT_EQ(pauses_.StallLimit(), milliseconds(300));
}

TEST_F(StreamPausesTest, StallLimitFollowsPausesThatGrow) {
  Add(100, milliseconds(100));
  Add(64, milliseconds(200));
  EXPECT_EQ(pauses_.StallLimit(), milliseconds(600));
}

TEST_F(StreamPausesTest, StallLimitOfShortPausesAllowsForThisProcess) {
  Add(10, milliseconds(2));
  EXPECT_EQ(pauses_.StallLimit(), milliseconds(100));
}

}  // namespace
}  // namespace hornbeamcleat
