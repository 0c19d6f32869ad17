#include "src/entry/submission.h"

#include <gtest/gtest.h>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

class SubmissionTest : public testing::Test {
 protected:
  SubmissionTest() {
    request_.path = "/v1/chat/completions";
    request_.headers = {{"workspace", "w"}, {"application", "a"}};
  }

  RequestSpec Read() const {
    RequestSpec spec = ReadSubmission(request_, "id1", now_);
    ReadBody(request_.body, &spec);
    return spec;
  }

  static RequestProperty Part(const std::string& text) {
    return {PropertyKind::kPart, text};
  }

  static std::vector<RequestProperty> PartsOf(const RequestSpec& spec) {
    std::vector<RequestProperty> parts = spec.properties;
    std::erase_if(parts, [](RequestProperty property) {
      return property.Kind() != PropertyKind::kPart;
    });
    return parts;
  }

  CallerRequest request_;
  Time now_{std::chrono::seconds(5)};
};

TEST_F(SubmissionTest, ReadBodyOfAnyFormIsAccepted) {
  for (const char* body : {"", "text", "{", "[1]", "{\"prompt\":[1,2]}",
                           "{\"messages\":3}", "{\"max_tokens\":\"x\"}"}) {
    request_.body = body;
    EXPECT_EQ(Read().id, "id1") << body;
    EXPECT_TRUE(Read().prefix_blocks.empty()) << body;
  }
}

TEST_F(SubmissionTest, ReadMessagesGivesTokensAndBlocks) {
  const std::string text(100, 'x');
  request_.body = "{\"messages\":[{\"content\":\"" + text.substr(0, 40) +
                  "\"},{\"content\":\"" + text.substr(40) +
                  "\"}],\"max_tokens\":12}";
  const RequestSpec spec = Read();
  EXPECT_EQ(spec.max_tokens, 12U);
  EXPECT_EQ(spec.prompt_tokens, 25U);
  const std::vector<std::uint64_t> blocks = {Hash64(text.substr(0, 64), 0)};
  EXPECT_EQ(spec.prefix_blocks, blocks);
  ASSERT_FALSE(spec.properties.empty());
  EXPECT_EQ(spec.properties.front(),
            RequestProperty(PropertyKind::kContent, request_.body));
  EXPECT_EQ(PartsOf(spec),
            (std::vector<RequestProperty>{Part(text.substr(0, 40)),
                                          Part(text.substr(40))}));
}

TEST_F(SubmissionTest, ReadPromptGivesParagraphsAsParts) {
  request_.body = R"({"prompt":"one\n\ntwo\n\n"})";
  EXPECT_EQ(PartsOf(Read()),
            (std::vector<RequestProperty>{Part("one\n\n"), Part("two\n\n")}));
}

TEST_F(SubmissionTest, ReadManyMessagesGivesFirstAndLastParts) {
  std::string list;
  for (int i = 0; i < 40; ++i) {
    list += (i == 0 ? "" : ",") + std::string(R"({"content":"m)") +
            std::to_string(i) + R"("})";
  }
  request_.body = R"({"messages":[)" + list + "]}";
  const std::vector<RequestProperty> parts = PartsOf(Read());
  ASSERT_EQ(parts.size(), 16U);
  EXPECT_EQ(parts[7], Part("m7"));
  EXPECT_EQ(parts[8], Part("m32"));
}

TEST_F(SubmissionTest, ReadDeadlineCountsFromArrival) {
  EXPECT_EQ(Read().deadline, Time::max());
  request_.headers["deadline-ms"] = "1500";
  EXPECT_EQ(Read().deadline, now_ + std::chrono::milliseconds(1500));
  for (const char* text : {"0", "-1", "1.5", "99999999999"}) {
    request_.headers["deadline-ms"] = text;
    EXPECT_THROW(Read(), Error) << text;
  }
}

TEST_F(SubmissionTest, ReadPathThatNeedsEscapingIsRefused) {
  for (const char* path : {"/v1/a b", "/v1/a\r\nX: y", "/v1/a?b", "/v1/a#b"}) {
    request_.path = path;
    EXPECT_THROW(Read(), Error) << path;
  }
}

TEST_F(SubmissionTest, ReadWithoutWorkspaceIsRefused) {
  request_.headers.erase("workspace");
  EXPECT_THROW(Read(), Error);
}

}  // namespace
}  // namespace hornbeamcleat
