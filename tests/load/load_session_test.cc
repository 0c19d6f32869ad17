#include "src/load/load_session.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

class LoadSessionTest : public testing::Test {
 protected:
  LoadSessionTest() {
    plan_.id = "r1";
    plan_.at = std::chrono::milliseconds(100);
    plan_.max_tokens = 2;
    plan_.prompt_bytes = 2'000;
    class_.deadline = std::chrono::seconds(1);
  }

  LoadSession Make(int retries = 0) {
    SessionOptions options;
    options.max_retries = retries;
    options.run_start = WallTime(std::chrono::milliseconds(1'796'000'000'000));
    LoadSession session(plan_, class_, options);
    session.Begin(SessionStep::kSend, "127.0.0.1:1", Ms(150));
    return session;
  }

  static Duration Ms(int ms) { return std::chrono::milliseconds(ms); }

  static std::string Part(int n, const std::string& id = "r1") {
    return fmt::format(
        "id: {}\ndata: {{\"id\":\"{}\",\"choices\":[{{\"delta\":"
        "{{\"content\":\"t{} \"}}}}]}}\n\n",
        n, id, n);
  }

  static std::string Tail() {
    return "id: 3\ndata: {\"id\":\"r1\",\"usage\":{\"prompt_tokens\":9,"
           "\"cached_tokens\":4,\"completion_tokens\":2}}\n\n"
           "id: 4\ndata: [DONE]\n\nevent: end\ndata: {\"parts\":4}\n\n";
  }

  static void Head(LoadSession* session) {
    session->TakeHead(200, {{"content-type", "text/event-stream"},
                            {"resume-handle", "h"},
                            {"target-version", "v1"}});
  }

  static SessionStep Refuse(LoadSession* session, Duration now) {
    session->TakeHead(429, {{"content-type", "application/problem+json"}});
    session->TakeBody(R"({"outcome":"not_run","reason":"queue_full",)"
                      R"("retryAfterMs":200})",
                      now);
    return session->TakeEnd(TargetEnd::kComplete, "", now);
  }

  PlannedRequest plan_;
  RequestClass class_;
};

TEST_F(LoadSessionTest, AnswerWholeCountsFromIntendedTime) {
  LoadSession session = Make();
  Head(&session);
  session.TakeBody(Part(1), Ms(300));
  session.TakeBody(Part(2), Ms(340));
  EXPECT_EQ(session.TakeBody(Tail(), Ms(350)), SessionStep::kDone);
  const RequestRecord& record = session.Record();
  EXPECT_EQ(record.end, RequestEnd::kWholeInTime);
  EXPECT_EQ(record.intended, Ms(100));
  EXPECT_EQ(record.first_part, Ms(300));
  EXPECT_EQ(record.cached_tokens, 4);
  EXPECT_EQ(record.version, "v1");
  EXPECT_EQ(session.Gaps(), std::vector<std::uint32_t>{40'000});
}

TEST_F(LoadSessionTest, AnswerAfterDeadlineIsLate) {
  LoadSession session = Make();
  Head(&session);
  session.TakeBody(Part(1) + Part(2) + Tail(), Ms(1101));
  EXPECT_EQ(session.Record().end, RequestEnd::kWholeLate);
}

TEST_F(LoadSessionTest, PartMissingIsWrong) {
  LoadSession session = Make();
  Head(&session);
  EXPECT_EQ(session.TakeBody(Part(2), Ms(300)), SessionStep::kDone);
  EXPECT_EQ(session.Record().end, RequestEnd::kWrong);
}

TEST_F(LoadSessionTest, PartOfOtherRequestIsWrong) {
  LoadSession session = Make();
  Head(&session);
  session.TakeBody(Part(1, "r2"), Ms(300));
  EXPECT_EQ(session.Record().end, RequestEnd::kWrong);
}

TEST_F(LoadSessionTest, EndBeforeAllTokensIsWrong) {
  LoadSession session = Make();
  Head(&session);
  session.TakeBody(Part(1) + "event: end\ndata: {\"parts\":1}\n\n", Ms(300));
  EXPECT_EQ(session.Record().end, RequestEnd::kWrong);
}

TEST_F(LoadSessionTest, ConnectionBrokenResumesAfterLastPart) {
  LoadSession session = Make();
  Head(&session);
  session.TakeBody(Part(1), Ms(300));
  EXPECT_EQ(session.TakeEnd(TargetEnd::kBroken, "reset", Ms(310)),
            SessionStep::kResume);
  const TargetRequest request =
      session.Begin(SessionStep::kResume, "127.0.0.1:2", Ms(410));
  EXPECT_EQ(request.method, "GET");
  EXPECT_EQ(request.path, "/v1/answers/r1");
  EXPECT_EQ(request.headers.at("Last-Event-ID"), "1");
  EXPECT_EQ(request.headers.at("Resume-Handle"), "h");
  Head(&session);
  EXPECT_EQ(session.TakeBody(Part(2) + Tail(), Ms(500)), SessionStep::kDone);
  EXPECT_EQ(session.Record().end, RequestEnd::kWholeInTime);
  EXPECT_EQ(session.Record().resumes, 1);
}

TEST_F(LoadSessionTest, ConnectionBrokenBeforeHeadIsLost) {
  LoadSession session = Make();
  EXPECT_EQ(session.TakeEnd(TargetEnd::kBroken, "reset", Ms(310)),
            SessionStep::kDone);
  EXPECT_EQ(session.Record().end, RequestEnd::kLost);
}

TEST_F(LoadSessionTest, NotConnectedIsSentAgain) {
  LoadSession session = Make();
  EXPECT_EQ(session.TakeEnd(TargetEnd::kNotConnected, "refused", Ms(310)),
            SessionStep::kSend);
}

TEST_F(LoadSessionTest, RefusalIsRetriedOnlyWithinDeadlineAndCount) {
  LoadSession session = Make(2);
  EXPECT_EQ(Refuse(&session, Ms(300)), SessionStep::kSend);
  EXPECT_EQ(session.RetryDelay(), Ms(200));
  session.Begin(SessionStep::kSend, "127.0.0.1:1", Ms(900));
  EXPECT_EQ(Refuse(&session, Ms(901)), SessionStep::kDone);
  EXPECT_EQ(session.Record().end, RequestEnd::kRefused);
  EXPECT_EQ(session.Record().outcome, "not_run");
  EXPECT_EQ(session.Record().reason, "queue_full");
}

TEST_F(LoadSessionTest, ServiceKeyCarriesDateOfIssue) {
  class_.service = true;
  SessionOptions options;
  options.run_start = WallTime(std::chrono::milliseconds(1'796'000'000'000));
  LoadSession session(plan_, class_, options);
  const TargetRequest request =
      session.Begin(SessionStep::kSend, "127.0.0.1:1", Ms(150));
  EXPECT_EQ(request.headers.at("Idempotency-Key"), "1796000000100-r1");
}

TEST_F(LoadSessionTest, BytesMalformedNeverThrow) {
  for (int seed = 0; seed < 2'000; ++seed) {
    std::string bytes = Part(1) + Part(2) + Tail();
    bytes.resize(bytes.size() - static_cast<std::size_t>(seed) % 50);
    const std::size_t at = static_cast<std::size_t>(seed * 7919) % bytes.size();
    bytes[at] = static_cast<char>(seed);
    LoadSession session = Make();
    Head(&session);
    session.TakeBody(bytes.substr(0, at), Ms(300));
    session.TakeBody(bytes.substr(at), Ms(300));
    session.TakeEnd(TargetEnd::kComplete, "", Ms(300));
    session.GiveUp(Ms(400));
    EXPECT_EQ(session.Record().id, "r1");
  }
}

}  // namespace
}  // namespace hornbeamcleat
