#include "src/relay/sse_splitter.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamcleat {
namespace {

class SseSplitterTest : public testing::Test {
 protected:
  SseSplitter splitter_;
};

TEST_F(SseSplitterTest, FeedWithPartialEventKeepsIt) {
  EXPECT_EQ(splitter_.Feed("id: 1\ndata: a\n\nid: 2\nda"),
            "id: 1\ndata: a\n\n");
  EXPECT_EQ(splitter_.LastEventId(), "1");
  EXPECT_EQ(splitter_.PartialEvent(), "id: 2\nda");
  EXPECT_EQ(splitter_.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(splitter_.LastEventId(), "2");
  EXPECT_EQ(splitter_.EventCount(), 2);
}

TEST_F(SseSplitterTest, FeedByteByByteGivesEachEventOnce) {
  const std::string stream =
      "id: 1\r\ndata: a\r\n\r\nweights-versions: 3\nid:2\ndata: b\n\n";
  std::string whole;
  for (const char c : stream) {
    whole += splitter_.Feed({&c, 1});
  }
  EXPECT_EQ(whole, stream);
  EXPECT_EQ(splitter_.LastEventId(), "2");
}

TEST_F(SseSplitterTest, DropPartialDiscardsIncompleteEvent) {
  splitter_.Feed("id: 1\ndata: a\n\nid: 2\nda");
  splitter_.DropPartial();
  EXPECT_EQ(splitter_.Feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

}  // namespace
}  // namespace hornbeamcleat
