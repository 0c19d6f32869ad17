#include <gtest/gtest.h>

#include <thread>

#include "tests/system/http_call.h"
#include "tests/system/small_system.h"

namespace hornbeamcleat {
namespace {

constexpr int kVms = 3;
constexpr int kCutOff = 2;
constexpr int kPolls = 300;
constexpr std::chrono::milliseconds kPollPeriod(100);

class ConfigurationTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(system_.Begin()); }

  bool WaitForRevision(int vm, std::uint64_t revision) const {
    for (int i = 0; i < kPolls; ++i) {
      if (system_.Revision(vm) >= revision) {
        return true;
      }
      std::this_thread::sleep_for(kPollPeriod);
    }
    return false;
  }

  SmallSystem system_{kVms, kCutOff};
};

TEST_F(ConfigurationTest, VmCutOffFromTheLogTakesChangesFromPeers) {
  ASSERT_EQ(system_.Put(0, "Tier", "silver", R"({"rank":1})"), 200);
  const std::uint64_t revision = system_.Revision(0);
  EXPECT_TRUE(WaitForRevision(kCutOff, revision));
  EXPECT_EQ(GetHttp(system_.ApiUrl(kCutOff) + "/api/Tier/silver").status, 200);
}

TEST_F(ConfigurationTest, RevisionNeverFallsWhenAllDaemonsButOneAreKilled) {
  ASSERT_EQ(system_.Put(0, "Tier", "silver", R"({"rank":1})"), 200);
  const std::uint64_t revision = system_.Revision(0);
  ASSERT_TRUE(WaitForRevision(kCutOff, revision));
  for (const int vm : {0, 1}) {
    system_.Control(vm)->Kill();
    system_.Entry(vm)->Kill();
  }
  EXPECT_GE(system_.Revision(kCutOff), revision);
  for (const int vm : {0, 1}) {
    system_.StartControl(vm);
    EXPECT_TRUE(WaitForRevision(vm, revision));
  }
  EXPECT_GE(system_.Revision(kCutOff), revision);
}

TEST_F(ConfigurationTest, OperatorsRaceHasOneWinnerAndConflicts) {
  ASSERT_EQ(system_.Put(0, "Tier", "silver", R"({"rank":1})"), 200);
  ASSERT_TRUE(WaitForRevision(1, system_.Revision(0)));
  const std::uint64_t version = system_.Revision(0);
  int first = 0;
  int second = 0;
  std::thread rival([&] {
    first = system_.Put(0, "Tier", "silver", R"({"rank":2})", version);
  });
  second = system_.Put(1, "Tier", "silver", R"({"rank":3})", version);
  rival.join();
  EXPECT_EQ(first + second, 200 + 409) << first << " " << second;
}

TEST_F(ConfigurationTest, LogOutageIsAnsweredUnavailableAndTrafficGoesOn) {
  ASSERT_EQ(CallHttp("POST", system_.PlatformUrl() + "/faults", {},
                     R"({"outageMs":60000})")
                .status,
            200);
  EXPECT_EQ(system_.Put(0, "Tier", "silver", R"({"rank":1})"), 503);
  const HttpAnswer chat =
      CallHttp("POST", system_.CallerUrl(0) + "/v1/completions",
               {{"Workspace", "w"}, {"Application", "chat"}},
               R"({"prompt":"hello","max_tokens":3,"stream":true})");
  EXPECT_EQ(chat.status, 200);
  EXPECT_NE(chat.body.find("event: end"), std::string::npos) << chat.body;
  const HttpAnswer book = CallHttp(
      "POST", system_.CallerUrl(0) + "/v1/book",
      {{"Workspace", "w"}, {"Application", "book"}, {"Idempotency-Key", "k"}},
      "{}");
  EXPECT_EQ(book.status, 503);
  EXPECT_NE(book.body.find(R"("outcome":"not_run")"), std::string::npos);
  EXPECT_TRUE(book.headers.contains("retry-after"));
}

}  // namespace
}  // namespace hornbeamcleat
