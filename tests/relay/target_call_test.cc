#include "src/relay/target_call.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "src/relay/target_connection_pool.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
constexpr std::size_t kBodyBytes = 40'000;

/// One call whose reading is paused from the head of the response on.
class PausedTargetCallTest : public RelayFixture {
 protected:
  void Start(const ScriptedTarget& target) {
    TargetCall::Plan plan;
    plan.target = target.Bound();
    plan.request_id = "r1";
    plan.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    plan.connect_by = clock_->Now() + std::chrono::seconds(5);
    plan.user_timeout = std::chrono::seconds(5);
    plan.limits = {65'536, 1'048'576};
    TargetCall::Callbacks callbacks;
    callbacks.may_send = [] { return true; };
    callbacks.on_head = [this](const MessageHead&) {
      call_->SetReading(false);
    };
    callbacks.on_body = [this](std::string* bytes) {
      body_ += *bytes;
      bytes->clear();
    };
    callbacks.on_done = [this] { is_done_ = true; };
    callbacks.on_failure = [this](CallFailure failure) { failure_ = failure; };
    call_ = TargetCall::Start(loop_.get(), &pool_, codec_.get(),
                              std::move(plan), std::move(callbacks));
  }

  /// Sends the head, then the body and the end of the connection, and waits
  /// until they have arrived at the paused connection.
  void RunPaused(const std::string& framing_header, const std::string& body,
                 bool resets = false) {
    ByteStream* at_target = nullptr;
    ScriptedTarget target(loop_.get(), [&](const ReceivedRequest& request) {
      at_target = request.stream;
      request.stream->Write(kHead + framing_header + "\r\n");
    });
    Start(target);
    ASSERT_TRUE(RunUntil([&] { return at_target != nullptr; }));
    RunTurns();
    at_target->Write(body);
    RunTurns();
    if (resets) {
      at_target->Abort();
    } else {
      at_target->FinishWriting();
    }
    RunTurns();
    EXPECT_FALSE(is_done_);
    EXPECT_EQ(failure_.has_value(), resets);
    call_->SetReading(true);
    ASSERT_TRUE(RunUntil([&] { return is_done_ || failure_.has_value(); }));
  }

  void RunTurns() {
    for (int i = 0; i < 20; ++i) {
      loop_->RunOnce(std::chrono::milliseconds(1));
    }
  }

  TargetConnectionPool pool_{clock_.get()};
  std::unique_ptr<TargetCall> call_;
  std::string body_;
  bool is_done_ = false;
  std::optional<CallFailure> failure_;
};

TEST_F(PausedTargetCallTest, CloseBehindUnreadBytesOfEachFramingLosesNone) {
  const std::string body(kBodyBytes, 'x');
  const std::string chunks = "9c40\r\n" + body + "\r\n0\r\n\r\n";
  const struct {
    const char* header;
    const std::string& bytes;
  } cases[] = {{"", body},
               {"Content-Length: 40000\r\n", body},
               {"Transfer-Encoding: chunked\r\n", chunks}};
  for (const auto& each : cases) {
    body_.clear();
    is_done_ = false;
    RunPaused(each.header, each.bytes);
    EXPECT_TRUE(is_done_) << each.header;
    EXPECT_EQ(body_, body) << each.header;
  }
}

TEST_F(PausedTargetCallTest, ResetFailsAtOnce) {
  RunPaused("", std::string(kBodyBytes, 'x'), true);
  EXPECT_EQ(failure_, CallFailure::kReset);
}

TEST_F(PausedTargetCallTest, CloseBeforeStatedLengthIsTruncated) {
  RunPaused("Content-Length: 40001\r\n", std::string(kBodyBytes, 'x'));
  EXPECT_EQ(failure_, CallFailure::kTruncated);
}

}  // namespace
}  // namespace hornbeamcleat
