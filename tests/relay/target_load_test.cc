#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/hash.h"
#include "src/relay/peer_link.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

/// A target that states its load in its answers, and a peer of the relay.
class TargetLoadTest : public RelayFixture {
 protected:
  TargetLoadTest()
      : target_(loop_.get(), [this](const ReceivedRequest& request) {
          constexpr char kBody[] = "id: 1\ndata: a\n\n";
          request.stream->Write(fmt::format(
              "HTTP/1.1 {} X\r\nRequest-Id: {}\r\nUpstream-Signature: s\r\n{}"
              "Content-Length: {}\r\n\r\n{}",
              status_, request.Header("Request-Id"), headers_,
              sizeof(kBody) - 1, kBody));
        }) {
    RelayOptions options = Options();
    options.peer_address = FreeUdpAddress();
    relay_ = MakeRelay(options);
    Configure(Config());
    SetTargets({&target_});
    relay_->SetMembers(
        {relay_->SelfRecord(), {peer_.ToString(), "127.0.0.1:9", "d"}});
    link_ = PeerLink::Open(loop_.get(), clock_.get(), peer_,
                           [this](const PeerState& state) {
                             for (const TargetLoad& load : state.uses) {
                               if (load.report.has_value()) {
                                 forwarded_ = load;
                               }
                             }
                           });
  }

  std::string Ask(const std::string& kind) {
    const std::unique_ptr<TestCaller> caller =
        SendRequest(Request(kind, fmt::format("n{}", next_id_++)));
    return caller->Received().substr(0, caller->Received().find("\r\n"));
  }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    RunUntil([&] { return clock_->Now() >= end; });
  }

  int status_ = 200;
  std::string headers_;
  int next_id_ = 0;
  std::optional<TargetLoad> forwarded_;
  const Address peer_ = FreeUdpAddress();
  std::unique_ptr<PeerLink> link_;
  ScriptedTarget target_;
};

TEST_F(TargetLoadTest, ReportInAnswerIsForwardedToNearPeer) {
  headers_ = "Replica-Load: 3,1,4,250\r\n";
  Ask("unsafe");
  ASSERT_TRUE(RunUntil([this] { return forwarded_.has_value(); }));
  EXPECT_EQ(forwarded_->target, Hash32("t0"));
  EXPECT_EQ(forwarded_->report->work_time, 2.5F);
  EXPECT_LE(forwarded_->report->age_ms, 250U);
}

TEST_F(TargetLoadTest, ReportInStreamAndFailureIsForwarded) {
  headers_ = "Replica-Load: 3,1,4,250\r\n";
  Ask("stream");
  ASSERT_TRUE(RunUntil([this] { return forwarded_.has_value(); }));
  RunFor(milliseconds(600));
  forwarded_.reset();
  status_ = 500;
  Ask("unsafe");
  ASSERT_TRUE(RunUntil([this] { return forwarded_.has_value(); }));
}

// The address may belong to another target by now.
TEST_F(TargetLoadTest, ReportInMisdirectedAnswerIsIgnored) {
  headers_ = "Replica-Load: 3,1,4,250\r\nNot-Executed: 1\r\n";
  status_ = 421;
  Ask("unsafe");
  RunFor(milliseconds(300));
  EXPECT_FALSE(forwarded_.has_value());
}

TEST_F(TargetLoadTest, GarbageInReportDoesNotStopServing) {
  for (const char* value :
       {"", ",,", "-1,0,4", "1,0", "99999999999999999999,0,4",
        "nan,nan,nan,nan", "1000000,1000000,1000000,1000000", "0,0,0,0",
        "1,0,4,-5", "1,0,4,1e999"}) {
    headers_ = fmt::format("Replica-Load: {}\r\n", value);
    relay_->OnConfigConfirmed(clock_->SuspendAwareNow());
    EXPECT_EQ(Ask("unsafe"), "HTTP/1.1 200 X") << value;
  }
  EXPECT_NE(metrics_->Expose().find("load_reports_total{kind=\"invalid\"}"),
            std::string::npos)
      << metrics_->Expose();
}

class PlainTargetQueueTest : public TargetLoadTest {
 protected:
  /// Returns the requests that the target has received after as many as eight
  /// were sent at a time and none was answered.
  int SentWithoutAnswer(bool is_engine) {
    ServingConfig config = Config(2);
    config.services = {{"s"}};
    config.services[0].is_engine = is_engine;
    Configure(config);
    for (int i = 0; i < 10; ++i) {
      Ask("unsafe");
    }
    const int answered = target_.RequestCount();
    target_.SetScript([](const ReceivedRequest&) {});
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < 2 * kTargetSlots; ++i) {
      callers.push_back(
          std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress()));
      callers.back()->Send(Request("unsafe", fmt::format("n{}", next_id_++)));
    }
    RunFor(milliseconds(100));
    return target_.RequestCount() - answered;
  }
};

TEST_F(PlainTargetQueueTest, PlainTargetThatReportsGetsShortQueue) {
  headers_ = "Replica-Load: 1,0,4\r\n";
  EXPECT_GT(SentWithoutAnswer(false), kTargetSlots);
  EXPECT_NE(metrics_->Expose().find("sends_beyond_slots_total{service=\"s\"}"),
            std::string::npos);
}

TEST_F(PlainTargetQueueTest, PlainTargetWithoutReportGetsItsSlotsOnly) {
  EXPECT_EQ(SentWithoutAnswer(false), kTargetSlots);
}

TEST_F(PlainTargetQueueTest, EngineGetsItsSlotsOnly) {
  headers_ = "Replica-Load: 1,0,4\r\n";
  EXPECT_EQ(SentWithoutAnswer(true), kTargetSlots);
}

}  // namespace
}  // namespace hornbeamcleat
