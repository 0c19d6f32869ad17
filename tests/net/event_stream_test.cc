#include "src/net/event_stream.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxEvent = 256;
constexpr int kFuzzInputs = 20'000;

class EventStreamTest : public testing::Test {
 protected:
  /// Events of `text` fed in pieces of `piece` bytes.
  static std::vector<StreamEvent> Parse(std::string_view text,
                                        std::size_t piece) {
    EventStreamParser parser(kMaxEvent);
    std::vector<StreamEvent> events;
    for (std::size_t i = 0; i < text.size(); i += piece) {
      parser.Feed(text.substr(i, piece),
                  [&](const StreamEvent& event) { events.push_back(event); });
    }
    return events;
  }
};

TEST_F(EventStreamTest, FeedAnySplitGivesSameEvents) {
  const std::string text =
      ": note\r\nid: 7\r\ndata: a\r\ndata:b\r\n\r\nevent: end\ndata\n\n"
      "id: x\rdata: c\r\r";
  const std::vector<StreamEvent> events = {
      {"", 7, "a\nb"}, {"end", std::nullopt, ""}, {"", std::nullopt, "c"}};
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    EXPECT_EQ(Parse(text, piece), events) << piece;
  }
}

TEST_F(EventStreamTest, FormatEventParsesBackToItself) {
  const StreamEvent event{"note", 12, "first\n\nthird"};
  EXPECT_EQ(Parse(FormatEvent(event), 5), std::vector<StreamEvent>{event});
}

TEST_F(EventStreamTest, FeedOversizedEventThrows) {
  EXPECT_THROW(Parse("data: " + std::string(kMaxEvent + 1, 'x'), 64), Error);
  std::string lines;
  for (std::size_t i = 0; i < kMaxEvent; ++i) {
    lines += "data: xy\n";
  }
  EXPECT_THROW(Parse(lines, 64), Error);
}

TEST_F(EventStreamTest, FeedRandomInputStaysBounded) {
  std::mt19937 random(20'261);
  const std::string_view pieces[] = {"data: ", "id: ",     "event: ", "\n",
                                     "\r",     "18446744", "\xff",    ":"};
  for (int i = 0; i < kFuzzInputs; ++i) {
    std::string text;
    for (unsigned n = random() % 64; n > 0; --n) {
      text += pieces[random() % std::size(pieces)];
    }
    try {
      for (const StreamEvent& event : Parse(text, 1 + random() % 9)) {
        EXPECT_LE(event.data.size(), 2 * kMaxEvent);
      }
    } catch (const Error&) {
      EXPECT_GT(text.size(), kMaxEvent);
    }
  }
}

}  // namespace
}  // namespace hornbeamcleat
