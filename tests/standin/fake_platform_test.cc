#include "src/standin/fake_platform.h"

#include "hornbeamcleat/platform/log_service.h"
#include "src/platform/http_platform.h"
#include "tests/standin/standin_fixture.h"

namespace hornbeamcleat {
namespace {

class FakePlatformTest : public testing::Test {
 protected:
  static FakePlatformSettings Settings() {
    FakePlatformSettings settings;
    settings.vm_lag = std::chrono::hours(1);
    settings.weight_bytes = 100'000;
    return settings;
  }

  void SetFaults(const std::string& json) {
    EXPECT_EQ(server_.Call("POST", "/faults", json).status, 200);
  }

  StandinServer server_{MakeFakePlatform(Settings())};
  std::unique_ptr<LogService> log_ =
      MakeHttpLogService(server_.Where(), std::chrono::seconds(20));
};

TEST_F(FakePlatformTest, RecordAppendedIsReadBack) {
  EXPECT_EQ(log_->AppendBatch("config", {"one", std::string("\0two", 4)}), 1U);
  const LogRead read =
      log_->Read("config", 2, 10, std::chrono::microseconds(0));
  ASSERT_EQ(read.records.size(), 1U);
  EXPECT_EQ(read.records[0].payload, std::string("\0two", 4));
  EXPECT_EQ(read.next, 3U);
}

TEST_F(FakePlatformTest, ReadWaitingIsAnsweredByAppend) {
  LogRead read;
  std::thread reader(
      [&] { read = log_->Read("config", 1, 10, std::chrono::seconds(15)); });
  MakeHttpLogService(server_.Where(), std::chrono::seconds(20))
      ->Append("config", "late");
  reader.join();
  ASSERT_EQ(read.records.size(), 1U);
  EXPECT_EQ(read.records[0].payload, "late");
}

TEST_F(FakePlatformTest, AnswerLostAppendHasTakenEffect) {
  SetFaults(R"({"loseAnswerEvery":1})");
  EXPECT_THROW(log_->Append("config", "x"), AppendOutcomeUnknown);
  EXPECT_EQ(log_->Read("config", 1, 10, Duration(0)).records.size(), 1U);
}

TEST_F(FakePlatformTest, OutageRefusesAndAppendsNothing) {
  SetFaults(R"({"outageMs":3600000})");
  bool unknown = false;
  try {
    log_->Append("config", "x");
    ADD_FAILURE() << "the append did not fail";
  } catch (const AppendOutcomeUnknown&) {
    unknown = true;
  } catch (const Error&) {
  }
  EXPECT_FALSE(unknown);
  EXPECT_EQ(server_.Call("GET", "/vms").status, 503);
  SetFaults(R"({"outageMs":0})");
  EXPECT_EQ(log_->Read("config", 1, 10, Duration(0)).next, 1U);
}

TEST_F(FakePlatformTest, VmListShowsChangeOnlyAfterLag) {
  const std::string list = R"({"vms":[{"name":"a","ip":"127.0.0.1"}]})";
  server_.Call("POST", "/vms", list);
  EXPECT_EQ(server_.Call("GET", "/vms").body, R"({"vms":[]})");
  SetFaults(R"({"vmLagMs":0})");
  server_.Call("POST", "/vms", list);
  EXPECT_EQ(server_.Call("GET", "/vms").body, R"({"vms":[]})");
}

TEST_F(FakePlatformTest, WeightsHaveStatedSize) {
  EXPECT_EQ(server_.Call("GET", "/weights/v1").body.size(), 100'000U);
  EXPECT_EQ(server_.Call("GET", "/weights/v1", "", {}, "bytes=70").body.size(),
            70U);
}

TEST_F(FakePlatformTest, BodyMalformedIsRefused) {
  for (const char* body :
       {"", "{", "{}", "[]", "5", "null", "\"x\"", "{\"payloads\":[{}]}"}) {
    EXPECT_EQ(server_.Call("POST", "/log/config", body).status, 400) << body;
  }
  EXPECT_EQ(server_.Call("GET", "/log/config", "", {}, "from=x").status, 400);
}

}  // namespace
}  // namespace hornbeamcleat
