#include "src/base/json.h"

#include <cxxtools/serializationinfo.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "tests/base/strict_json_reader.h"

namespace hornbeamcleat {
namespace {

/// The largest record that the store takes.
constexpr std::size_t kRecordBytes = 262'144;
/// A configuration must be in force 2 s after it was written, so no record may
/// hold a reader up for longer than a part of that, on a quarter of a core.
constexpr Duration kMaxParseTime = std::chrono::milliseconds(500);

std::string Repeat(std::string_view unit, std::size_t bytes) {
  std::string text;
  while (text.size() + unit.size() <= bytes) {
    text += unit;
  }
  return text;
}

class JsonTest : public testing::Test {
 protected:
  static bool IsAccepted(const std::string& text) {
    try {
      ParseJson(text, kRecordBytes);
      return true;
    } catch (const Error&) {
      return false;
    }
  }

  std::unique_ptr<Clock> clock_ = Clock::Make();
};

// Guards against a record of another writer that held up the control thread of
// every process and then exhausted its stack: the check of the depth took the
// quotation mark in the comment for the begin of a string, the parser skipped
// the comment.
TEST_F(JsonTest, DeepNestingBehindCommentIsRejectedInTime) {
  for (const char* begin : {"//\"\n", "/*\"*/", "[//\"\n", "{/*\"*/\"a\":"}) {
    const Time start = clock_->Now();
    EXPECT_FALSE(IsAccepted(begin + std::string(60'000, '['))) << begin;
    EXPECT_LT(clock_->Now() - start, kMaxParseTime) << begin;
  }
}

TEST_F(JsonTest, DeepNestingIsRejectedFromOneLevelTooMany) {
  struct Level {
    std::string open;
    std::string close;
    std::size_t depth;
  };
  for (const Level& level :
       {Level{"[", "]", 1}, {"{\"a\":", "}", 1}, {"[{\"a\":", "}]", 2}}) {
    const std::size_t n = kMaxJsonDepth / level.depth;
    std::string text = Repeat(level.open, n * level.open.size());
    text += "1";
    text += Repeat(level.close, n * level.close.size());
    EXPECT_TRUE(IsAccepted(text)) << level.open;
    text.insert(0, "[");
    text += "]";
    EXPECT_FALSE(IsAccepted(text)) << level.open;
  }
}

TEST_F(JsonTest, LargestRecordIsReadInTimeWhateverItHolds) {
  const std::vector<std::string> texts = {
      "[" + Repeat("1,", kRecordBytes - 3) + "1]",
      "[" + Repeat("[],", kRecordBytes - 4) + "[]]",
      "{" + Repeat("\"a\":1,", kRecordBytes - 8) + "\"a\":1}",
      "\"" + Repeat("a", kRecordBytes - 2) + "\"",
      "\"" + Repeat("\\u00e9", kRecordBytes - 2) + "\"",
      "[" + Repeat(" ", kRecordBytes - 2) + "]",
      Repeat("1", 300) + Repeat("1", kRecordBytes - 300),
      Repeat("[", kRecordBytes),
      Repeat("{\"a\":", kRecordBytes),
      Repeat("\\\"[", kRecordBytes),
      Repeat("//\n", kRecordBytes),
      Repeat("/*\"*/", kRecordBytes),
      Repeat("\"", kRecordBytes),
  };
  for (const std::string& text : texts) {
    const Time start = clock_->Now();
    EXPECT_EQ(IsAccepted(text), IsStrictJson(text, kMaxJsonDepth))
        << text.substr(0, 20);
    EXPECT_LT(clock_->Now() - start, kMaxParseTime) << text.substr(0, 20);
  }
}

TEST_F(JsonTest, TextThatIsNoJsonIsRejected) {
  const std::vector<std::string> texts = {"",
                                          " ",
                                          "]",
                                          "nul",
                                          "truex",
                                          "{} x",
                                          "{}}",
                                          "{}{}",
                                          "{a:1}",
                                          "{\"a\":1,}",
                                          "[1,]",
                                          "[,1]",
                                          "[1 2]",
                                          "01",
                                          "-01",
                                          "--1",
                                          "+1",
                                          ".5",
                                          "1.",
                                          "1.2.3",
                                          "1e",
                                          "1e+",
                                          "NaN",
                                          "Infinity",
                                          "-",
                                          "0x10",
                                          "\\\"[",
                                          "'a'",
                                          "\"a",
                                          "\"\n\"",
                                          "\"\t\"",
                                          "\"\\x\"",
                                          "\"\\u12\"",
                                          "\"\\ud800\"",
                                          "\"\\udc00\"",
                                          "\"\\ud800\\u0041\"",
                                          "\"\xff\"",
                                          "\"\xc3\"",
                                          "\"\xc0\xaf\"",
                                          "\"\xed\xa0\x80\"",
                                          "// a\n1",
                                          "/* a */ 1",
                                          "1 // a",
                                          "{\"a\" 1}",
                                          "{\"a\"}",
                                          "{1:2}",
                                          "[1",
                                          "{\"a\":1",
                                          "True",
                                          "1e999",
                                          std::string("1\0", 2),
                                          std::string("{}\0x", 4),
                                          std::string("\"\0\"", 3)};
  for (const std::string& text : texts) {
    EXPECT_FALSE(IsAccepted(text)) << text;
    EXPECT_FALSE(IsStrictJson(text, kMaxJsonDepth)) << text;
  }
}

TEST_F(JsonTest, JsonIsAccepted) {
  const std::vector<std::string> texts = {"{}",
                                          "[]",
                                          "1",
                                          "-0",
                                          "0.5",
                                          "1e3",
                                          "1E-3",
                                          "-1.5e+2",
                                          "\"\"",
                                          "true",
                                          "false",
                                          "null",
                                          " \t\r\n[ 1 , 2 ]\n",
                                          "{\"a\":{\"b\":[{}]}}",
                                          "\"\\u00e9\\ud83d\\ude00\\n\\/\"",
                                          "\"\xc3\xa9\xf0\x9f\x98\x80\x7f\"",
                                          "99999999999999999999999999",
                                          "{\"\":0}",
                                          "{\"a\":1,\"a\":2}"};
  for (const std::string& text : texts) {
    EXPECT_TRUE(IsAccepted(text)) << text;
    EXPECT_TRUE(IsStrictJson(text, kMaxJsonDepth)) << text;
  }
}

TEST_F(JsonTest, RepeatedMemberCountsOnceByItsFirstValue) {
  EXPECT_EQ(JsonMember<int>(ParseJson("{\"a\":1,\"a\":2}", 100), "a", 0), 1);
}

// Guards against names and keys that become equal, as each letter beyond
// Latin-1 was read as a question mark.
TEST_F(JsonTest, TextInUtf8IsReadAndFormattedUnchanged) {
  for (const std::string& text :
       {std::string("\xc3\xa9"), std::string("\xe6\x97\xa5\xe6\x9c\xac"),
        std::string("\xf0\x9f\x98\x80\x7f")}) {
    const cxxtools::SerializationInfo raw = ParseJson("\"" + text + "\"", 100);
    std::string read;
    raw.getValue(read);
    EXPECT_EQ(read, text);
    std::string back;
    ParseJson(FormatJson(raw), 100).getValue(back);
    EXPECT_EQ(back, text);
  }
  std::string escaped;
  ParseJson(R"("\u00e9\u65e5\ud83d\ude00")", 100).getValue(escaped);
  EXPECT_EQ(escaped, "\xc3\xa9\xe6\x97\xa5\xf0\x9f\x98\x80");
}

TEST_F(JsonTest, BytesThatAreNotUtf8AreFormattedAsValidJson) {
  for (const std::string& bytes : {std::string("\xff"), std::string("a\xc3"),
                                   std::string("\x80\xed\xa0\x80")}) {
    cxxtools::SerializationInfo object;
    object.addMember("k") <<= bytes;
    EXPECT_TRUE(IsStrictJson(FormatJson(object), kMaxJsonDepth));
  }
}

TEST_F(JsonTest, LongTextIsRejectedWithShortMessage) {
  for (const std::string& text :
       {Repeat("x", kRecordBytes), "\"" + Repeat("a", kRecordBytes - 1)}) {
    try {
      ParseJson(text, kRecordBytes);
      FAIL() << "accepted";
    } catch (const Error& e) {
      EXPECT_LT(std::string(e.what()).size(), 100U);
    }
  }
}

// The parser and a second strict reading agree on texts that differ from JSON
// by a few bytes.
TEST_F(JsonTest, MutatedTextIsAcceptedOnlyIfItIsJson) {
  const std::vector<std::string> seeds = {
      R"({"service":"s","address":"10.0.0.1:80","slots":11,"state":"ready"})",
      R"({"version":7,"routes":[{"hostname":"h","timeout_ms":1.5e3}],"x":null})",
      R"({"items":[{"key":"k","value":"YWJj","offset":-12}],"truncated":true})",
      "[[[[]]],{\"a\":{}},\"\\u00e9\\ud83d\\ude00\xc3\xa9\xf0\x9f\x98\x80\"]"};
  const std::string_view bytes(
      "{}[]\",:\\/*-+.eEu0129dtfn \n\t\x01\x80\xc3\xed\xff");
  std::mt19937 random(49);
  int accepted = 0;
  for (int i = 0; i < 60'000; ++i) {
    std::string text = seeds[random() % seeds.size()];
    for (std::uint32_t n = random() % 3 + 1; n > 0 && !text.empty(); --n) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = bytes[random() % bytes.size()];
          break;
        case 1:
          text.insert(at, 1, bytes[random() % bytes.size()]);
          break;
        case 2:
          text.erase(at, random() % 4 + 1);
          break;
        default:
          text.insert(at, text.substr(random() % text.size(), random() % 8));
      }
    }
    const bool is_accepted = IsAccepted(text);
    accepted += is_accepted ? 1 : 0;
    ASSERT_EQ(is_accepted, IsStrictJson(text, kMaxJsonDepth)) << text;
  }
  EXPECT_GT(accepted, 1'000);
}

}  // namespace
}  // namespace hornbeamcleat
