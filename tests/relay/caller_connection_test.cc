#include "src/relay/caller_connection.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/relay/listener.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

/// More than a socket's buffers hold, so that a part stays unsent.
constexpr std::size_t kLargeBodyBytes = std::size_t{32} << 20;
/// Longer than a connection without unsent bytes lingers.
constexpr Duration kSlowCallerPause = std::chrono::milliseconds(2'500);

class IdleHandler : public RequestHandler {
 public:
  void OnFlushed() override {}
};

/// Responses of one connection, written by the test.
class CallerConnectionTest : public testing::Test {
 protected:
  CallerConnectionTest() {
    CallerConnection::Delegate delegate;
    delegate.handle =
        [this](const CallerRequest&,
               ResponseSink* sink) -> std::unique_ptr<RequestHandler> {
      sink_ = sink;
      return std::make_unique<IdleHandler>();
    };
    delegate.options = [this] { return options_; };
    delegate.is_draining = [] { return false; };
    delegate.may_buffer = [](std::size_t) { return true; };
    delegate.on_rejected = [](std::string_view) {};
    delegate.on_response_cut = [this](std::size_t unsent) { cut_ = unsent; };
    options_.user_timeout = std::chrono::seconds(5);
    listener_.emplace(loop_.get(), clock_.get(), Address{"127.0.0.1", 0}, 10,
                      std::move(delegate));
  }

  std::unique_ptr<TestCaller> Connect(const std::string& version) {
    std::unique_ptr<TestCaller> caller =
        std::make_unique<TestCaller>(loop_.get(), listener_->Bound());
    caller->Send("GET / " + version +
                 "\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(RunUntil([this] { return sink_ != nullptr; }));
    return caller;
  }

  void SendLargeBody(std::optional<std::uint64_t> length) {
    sink_->BeginBody(200, "", {}, length);
    sink_->SendBody(std::string(kLargeBodyBytes, 'x'));
    sink_->EndBody();
    EXPECT_GT(sink_->Unsent(), 0U);
  }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    while (clock_->Now() < end) {
      loop_->RunOnce(std::chrono::milliseconds(5));
    }
  }

  template <typename Done>
  bool RunUntil(const Done& done) {
    const Time end = clock_->Now() + std::chrono::seconds(20);
    while (!done() && clock_->Now() < end) {
      loop_->RunOnce(std::chrono::milliseconds(5));
    }
    return done();
  }

  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  CallerConnection::Options options_;
  ResponseSink* sink_ = nullptr;
  std::size_t cut_ = 0;  ///< unsent bytes of a response that was cut
  std::optional<Listener> listener_;
};

// Guards against unsent bytes being dropped while the connection lingers, after
// which a response that ends with its connection looks complete.
TEST_F(CallerConnectionTest, WholeResponseToSlowCallerIsSentToItsEnd) {
  const std::unique_ptr<TestCaller> caller = Connect("HTTP/1.0");
  caller->SetReading(false);
  SendLargeBody(std::nullopt);
  EXPECT_EQ(listener_->BusyConnections(), 1);
  RunFor(kSlowCallerPause);
  caller->SetReading(true);
  ASSERT_TRUE(RunUntil([&caller] { return caller->Ended(); }));
  EXPECT_FALSE(caller->WasReset());
  EXPECT_GT(caller->Received().size(), kLargeBodyBytes);
  EXPECT_EQ(cut_, 0U);
  EXPECT_TRUE(RunUntil([this] { return listener_->BusyConnections() == 0; }));
}

TEST_F(CallerConnectionTest, CallerThatStopsReadingIsReset) {
  options_.user_timeout = std::chrono::seconds(1);
  const std::unique_ptr<TestCaller> caller = Connect("HTTP/1.0");
  caller->SetReading(false);
  SendLargeBody(std::nullopt);
  ASSERT_TRUE(RunUntil([&caller] { return caller->Ended(); }));
  EXPECT_TRUE(caller->WasReset());
  EXPECT_GT(cut_, 0U);
}

TEST_F(CallerConnectionTest,
       CallerThatLeavesBeforeItsResponseIsSentIsReported) {
  const std::unique_ptr<TestCaller> caller = Connect("HTTP/1.1");
  caller->SetReading(false);
  SendLargeBody(kLargeBodyBytes);
  caller->Close();
  EXPECT_TRUE(RunUntil([this] { return cut_ > 0; }));
}

// Without a length or chunks, only a reset tells the caller that a body was cut
// by the end of the process.
TEST_F(CallerConnectionTest, UnframedBodyCutByEndOfServerIsReset) {
  const std::unique_ptr<TestCaller> caller = Connect("HTTP/1.0");
  sink_->BeginBody(200, "", {}, std::nullopt);
  sink_->SendBody("part");
  ASSERT_TRUE(RunUntil([&caller] {
    return caller->Received().find("part") != std::string::npos;
  }));
  listener_.reset();
  ASSERT_TRUE(RunUntil([&caller] { return caller->Ended(); }));
  EXPECT_TRUE(caller->WasReset());
}

TEST_F(CallerConnectionTest, UnframedBodyCutBehindUnsentBytesIsReset) {
  const std::unique_ptr<TestCaller> caller = Connect("HTTP/1.0");
  caller->SetReading(false);
  SendLargeBody(std::nullopt);
  listener_.reset();
  caller->SetReading(true);
  ASSERT_TRUE(RunUntil([&caller] { return caller->Ended(); }));
  EXPECT_TRUE(caller->WasReset());
}

TEST_F(CallerConnectionTest, UnframedBodySentToItsEndIsClosedInOrder) {
  const std::unique_ptr<TestCaller> caller = Connect("HTTP/1.0");
  sink_->BeginBody(200, "", {}, std::nullopt);
  sink_->SendBody("whole");
  sink_->EndBody();
  listener_.reset();
  ASSERT_TRUE(RunUntil([&caller] { return caller->Ended(); }));
  EXPECT_FALSE(caller->WasReset());
  EXPECT_TRUE(caller->Received().ends_with("whole"));
}

}  // namespace
}  // namespace hornbeamcleat
