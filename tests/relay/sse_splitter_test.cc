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

TEST_F(SseSplitterTest, FeedAnyLineEndingAndSplitGivesEachEventOnce) {
  const std::string stream =
      "id: 1\rdata: a\r\rid: 2\ndata: b\r\n\nid: 3\r\ndata: c\n\r\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    SseSplitter splitter;
    std::string whole;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      whole += splitter.Feed(stream.substr(at, size));
    }
    EXPECT_EQ(whole, stream) << size;
    EXPECT_EQ(splitter.LastEventId(), "3") << size;
    EXPECT_EQ(splitter.EventCount(), 3) << size;
    EXPECT_FALSE(splitter.IsInsideEvent()) << size;
    EXPECT_EQ(splitter.PartialBytes(), 0U) << size;
  }
}

TEST_F(SseSplitterTest, IsInsideEventAtEachCutIsFalseOnlyBetweenEvents) {
  const std::string events[] = {"id: 1\ndata: a\n\n", "data: b\r\n\r\n"};
  std::string sent;
  for (const std::string& event : events) {
    for (std::size_t n = 1; n < event.size(); ++n) {
      SseSplitter splitter;
      splitter.Track(sent + event.substr(0, n));
      EXPECT_TRUE(splitter.IsInsideEvent()) << sent + event << n;
    }
    sent += event;
    SseSplitter splitter;
    splitter.Track(sent);
    EXPECT_FALSE(splitter.IsInsideEvent()) << sent;
  }
}

TEST_F(SseSplitterTest, IsInsideEventAfterCommentsIsFalseOnceTheirLineEnds) {
  splitter_.Track("data: a\n\n: pi");
  EXPECT_TRUE(splitter_.IsInsideEvent());
  splitter_.Track("ng\n");
  EXPECT_FALSE(splitter_.IsInsideEvent());
  EXPECT_EQ(splitter_.EventCount(), 1);
  EXPECT_EQ(splitter_.PartialEvent(), "");
}

TEST_F(SseSplitterTest, TakeRestReturnsCommentAfterLastEvent) {
  EXPECT_EQ(splitter_.Feed("data: a\n\n: bye\n"), "data: a\n\n");
  EXPECT_EQ(splitter_.TakeRest(), ": bye\n");
  EXPECT_EQ(splitter_.PartialEvent(), "");
}

TEST_F(SseSplitterTest, FeedIdThatIsTooLongLeavesNoIdToResumeFrom) {
  splitter_.Feed("id: 1\ndata: a\n\n");
  splitter_.Feed("id: " + std::string(5'000, 'x') + "\ndata: b\n\n");
  EXPECT_EQ(splitter_.LastEventId(), "");
  EXPECT_EQ(splitter_.EventCount(), 2);
}

}  // namespace
}  // namespace hornbeamcleat
