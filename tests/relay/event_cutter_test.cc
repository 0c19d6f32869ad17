#include "src/relay/event_cutter.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamcleat {
namespace {

class EventCutterTest : public testing::Test {
 protected:
  EventCutter cutter_;
};

TEST_F(EventCutterTest, FeedWithPartialEventKeepsIt) {
  EXPECT_EQ(cutter_.Feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(cutter_.LastId(), "1");
  EXPECT_EQ(cutter_.Partial(), "id: 2\nda");
  EXPECT_EQ(cutter_.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(cutter_.LastId(), "2");
  EXPECT_EQ(cutter_.Events(), 2);
}

TEST_F(EventCutterTest, FeedByteByByteGivesEachEventOnce) {
  const std::string stream =
      "id: 1\r\ndata: a\r\n\r\nweights-versions: 3\nid:2\ndata: b\n\n";
  std::string whole;
  for (const char c : stream) {
    whole += cutter_.Feed({&c, 1});
  }
  EXPECT_EQ(whole, stream);
  EXPECT_EQ(cutter_.LastId(), "2");
}

TEST_F(EventCutterTest, DropPartialForgetsTornEvent) {
  cutter_.Feed("id: 1\ndata: a\n\nid: 2\nda");
  cutter_.DropPartial();
  EXPECT_EQ(cutter_.Feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

}  // namespace
}  // namespace hornbeamcleat
