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
  EXPECT_EQ(spec.fingerprint, Hash64(request_.body));
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
