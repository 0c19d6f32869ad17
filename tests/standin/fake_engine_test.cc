#include "src/standin/fake_engine.h"

#include <atomic>

#include "src/standin/engine_faults.h"
#include "src/standin/engine_reports.h"
#include "tests/standin/standin_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr char kPath[] = "/v1/chat/completions";

class FakeEngineTest : public testing::Test {
 protected:
  FakeEngineSettings Settings() {
    FakeEngineSettings settings;
    settings.speed.step = std::chrono::milliseconds(1);
    settings.crash = [this] { crashed_ = true; };
    return settings;
  }

  StandinServer::Reply RunRequest(const std::string& id, int tokens,
                                  const std::string& prompt = "hello") {
    return server_.Call("POST", kPath,
                        R"({"max_tokens":)" + std::to_string(tokens) +
                            R"(,"prompt":")" + prompt + "\"}",
                        {{"Request-Id", id}});
  }

  void SetFaults(const std::string& json) {
    EXPECT_EQ(server_.Call("POST", "/faults", json).status, 200);
  }

  static std::size_t Count(const std::string& text, const std::string& word) {
    std::size_t n = 0;
    for (std::size_t at = text.find(word); at != std::string::npos;
         at = text.find(word, at + 1)) {
      ++n;
    }
    return n;
  }

  std::atomic<bool> crashed_ = false;
  StandinServer server_{MakeFakeEngine(Settings())};
};

TEST_F(FakeEngineTest, AnswerHasEachTokenThenUsageThenDone) {
  const StandinServer::Reply reply = RunRequest("r1", 7);
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(Count(reply.body, "\"id\":\"r1\""), 8U);
  EXPECT_EQ(Count(reply.body, "id: "), 9U);
  EXPECT_NE(reply.body.find("\"completion_tokens\":7"), std::string::npos);
  EXPECT_TRUE(reply.body.ends_with("id: 9\ndata: [DONE]\n\n"));
}

TEST_F(FakeEngineTest, ResumeGivesPartsAfterOffset) {
  const std::string whole = RunRequest("r1", 5).body;
  const StandinServer::Reply rest =
      server_.Call("GET", "/v1/streams/r1", "", {{"Last-Event-ID", "3"}});
  EXPECT_EQ(rest.body, whole.substr(whole.find("id: 4\n")));
  EXPECT_EQ(server_.Call("GET", "/v1/streams/other").status, 404);
}

TEST_F(FakeEngineTest, RequestIdRepeatedIsRefusedAndCounted) {
  RunRequest("r1", 2);
  EXPECT_EQ(RunRequest("r1", 2).status, 409);
  EXPECT_EQ(
      RequiredJsonMember<std::int64_t>(server_.Json("/stats"), "repeatedIds"),
      1);
}

TEST_F(FakeEngineTest, CancelledStreamIsForgotten) {
  RunRequest("r1", 2);
  EXPECT_EQ(server_.Call("DELETE", "/v1/streams/r1").status, 200);
  EXPECT_EQ(server_.Call("GET", "/v1/streams/r1").status, 404);
}

TEST_F(FakeEngineTest, LeavingEngineSaysNotRun) {
  SetFaults(R"({"leaving":true})");
  const StandinServer::Reply reply = RunRequest("r1", 2);
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(reply.outcome, "not_run");
  EXPECT_EQ(
      RequiredJsonMember<std::int64_t>(server_.Json("/stats"), "requests"), 0);
}

TEST_F(FakeEngineTest, FailRatioOneFailsOnItsRouteOnly) {
  SetFaults(R"({"failRatio":1,"onlyRoute":"/v1/other"})");
  EXPECT_EQ(RunRequest("r1", 2).status, 200);
  SetFaults(R"({"onlyRoute":""})");
  EXPECT_EQ(RunRequest("r2", 2).status, 500);
}

TEST_F(FakeEngineTest, FailAfterPartsCutsStream) {
  SetFaults(R"({"failRatio":1,"failAfterParts":3})");
  const std::string body = RunRequest("r1", 5).body;
  EXPECT_NE(body.find("id: 1\n"), std::string::npos);
  EXPECT_EQ(body.find("id: 4\n"), std::string::npos);
  EXPECT_EQ(server_.Call("GET", "/v1/streams/r1").status, 404);
}

TEST_F(FakeEngineTest, CrashMarkerInBodyCrashes) {
  SetFaults(R"({"crashMarker":"poison"})");
  EXPECT_EQ(RunRequest("r1", 2, "good").status, 200);
  EXPECT_FALSE(crashed_);
  server_.Call("POST", kPath, R"({"prompt":"poison","max_tokens":2})",
               {{"Request-Id", "r2"}});
  EXPECT_TRUE(crashed_);
}

TEST_F(FakeEngineTest, BodyMalformedIsRefused) {
  for (const char* body : {"", "{", "5", "null", "\"x\"", "[1]",
                           R"({"messages":[5]})", R"({"max_tokens":"x"})"}) {
    for (const char* path : {kPath, "/admin/load", "/faults"}) {
      server_.Call("POST", path, body, {{"Request-Id", "r"}});
    }
  }
  EXPECT_EQ(RunRequest("r1", 2).status, 200);
}

TEST_F(FakeEngineTest, OrderWithOldFencingIsRefused) {
  EXPECT_EQ(server_
                .Call("POST", "/admin/load",
                      R"({"model":"assistant","version":"v2","fencing":5})")
                .status,
            200);
  EXPECT_EQ(server_
                .Call("POST", "/admin/unload",
                      R"({"model":"assistant","version":"v2","fencing":4})")
                .status,
            409);
  const cxxtools::SerializationInfo state = server_.Json("/admin/state");
  EXPECT_EQ(state.getMember("loaded").memberCount(), 2U);
}

TEST(EngineFaultsTest, ConditionsOnVersionAndLoadMustBothHold) {
  EngineFaults faults =
      ChangeFaults({}, R"({"onlyVersion":"v2","onlyAboveRunning":3})");
  EXPECT_TRUE(FaultsApply(faults, "v2", 3));
  EXPECT_FALSE(FaultsApply(faults, "v1", 3));
  EXPECT_FALSE(FaultsApply(faults, "v2", 2));
}

TEST(EngineReportsTest, EventsComeLateAndWithGaps) {
  EngineReports reports(Duration(0), std::chrono::seconds(1), 2);
  const Time start{};
  reports.TakeEvents({{1, true, 7}, {2, true, 8}, {3, true, 9}}, start);
  EXPECT_EQ(reports.FormatEvents(1, start), R"({"events":[]})");
  EXPECT_EQ(reports.FormatEvents(2, start + std::chrono::seconds(1)),
            R"({"events":[{"sequence":3,"stored":true,)"
            R"("block":"0000000000000009"}]})");
}

TEST(EngineReportsTest, LoadYoungerThanLagIsNotRefreshed) {
  EngineReports reports(std::chrono::seconds(1), Duration(0), 0);
  const Time start{};
  EngineLoad load;
  load.running = 1;
  reports.TakeLoad(load, start);
  load.running = 2;
  reports.TakeLoad(load, start + std::chrono::milliseconds(900));
  EXPECT_NE(reports.FormatLoad(start).find("\"running\":1"), std::string::npos);
}

}  // namespace
}  // namespace hornbeamcleat
