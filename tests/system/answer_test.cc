#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "src/base/json.h"
#include "tests/system/http_call.h"
#include "tests/system/small_system.h"

namespace hornbeamcleat {
namespace {

constexpr int kParts = 60;
constexpr int kPolls = 600;
constexpr std::chrono::milliseconds kPollPeriod(20);
constexpr std::size_t kMaxJson = 1024 * 1024;

class AnswerTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(system_.Begin()); }

  // Starts a streamed answer at an entry and returns once parts flow.
  void BeginAnswer(int vm) {
    caller_ = std::thread([this, vm] {
      answer_ = CallHttp(
          "POST", system_.CallerUrl(vm) + "/v1/completions",
          {{"Workspace", "w"}, {"Application", "chat"}},
          fmt::format(R"({{"prompt":"hello","max_tokens":{},"stream":true}})",
                      kParts),
          &received_);
    });
    for (int i = 0; i < kPolls && received_ == 0; ++i) {
      std::this_thread::sleep_for(kPollPeriod);
    }
  }

  void FinishAnswer() { caller_.join(); }

  static int LastOffset(const std::string& body) {
    const std::size_t at = body.rfind("\nid: ");
    return at == std::string::npos ? 0 : std::stoi(body.substr(at + 5));
  }

  int RunsAtEngines() const {
    int runs = 0;
    for (int i = 0; i < 2; ++i) {
      const HttpAnswer stats = GetHttp(system_.EngineUrl(i) + "/stats");
      if (stats.status == 200) {
        runs += JsonMember<int>(ParseJson(stats.body, kMaxJson), "requests", 0);
      }
    }
    return runs;
  }

  SmallSystem system_{2};
  std::thread caller_;
  std::atomic<std::size_t> received_{0};
  HttpAnswer answer_;
};

TEST_F(AnswerTest, EntryStoppedAsPlannedCutsNothingInFlight) {
  BeginAnswer(0);
  system_.Entry(0)->Signal(SIGTERM);
  FinishAnswer();
  EXPECT_EQ(answer_.status, 200);
  EXPECT_NE(answer_.body.find("event: end"), std::string::npos);
  EXPECT_EQ(system_.Entry(0)->WaitForExit(), 0);
}

TEST_F(AnswerTest, EntryKilledMidAnswerIsResumedAtAnotherWithoutASecondRun) {
  BeginAnswer(0);
  system_.Entry(0)->Kill();
  FinishAnswer();
  ASSERT_FALSE(answer_.whole);
  const std::string id = answer_.headers["request-id"];
  const int offset = LastOffset(answer_.body);
  const HttpAnswer rest =
      CallHttp("GET", system_.CallerUrl(1) + "/v1/answers/" + id,
               {{"Resume-Handle", answer_.headers["resume-handle"]},
                {"Last-Event-ID", std::to_string(offset)}},
               "");
  EXPECT_EQ(rest.status, 200);
  EXPECT_NE(rest.body.find(fmt::format("id: {}\n", offset + 1)),
            std::string::npos);
  EXPECT_NE(rest.body.find("event: end"), std::string::npos);
  EXPECT_EQ(RunsAtEngines(), 1);
}

TEST_F(AnswerTest, ControlKilledMidAnswerChangesNothing) {
  BeginAnswer(0);
  system_.Control(0)->Kill();
  FinishAnswer();
  EXPECT_NE(answer_.body.find("event: end"), std::string::npos);
}

TEST_F(AnswerTest, EnginesKilledMidAnswerAreNotReportedAsNotRun) {
  BeginAnswer(0);
  system_.Engine(0)->Kill();
  system_.Engine(1)->Kill();
  FinishAnswer();
  EXPECT_EQ(answer_.body.find("event: end"), std::string::npos);
  EXPECT_NE(answer_.body.find("event: error"), std::string::npos);
  EXPECT_EQ(answer_.body.find(R"("not_run")"), std::string::npos);
}

TEST_F(AnswerTest, FrozenEngineIsResumedOverANewConnectionOnceItGoesOn) {
  BeginAnswer(0);
  system_.Engine(0)->Signal(SIGSTOP);
  system_.Engine(1)->Signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  system_.Engine(0)->Signal(SIGCONT);
  system_.Engine(1)->Signal(SIGCONT);
  FinishAnswer();
  EXPECT_NE(answer_.body.find("event: end"), std::string::npos);
  EXPECT_EQ(RunsAtEngines(), 1);
}

}  // namespace
}  // namespace hornbeamcleat
