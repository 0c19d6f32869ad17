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

class TargetCallTest : public RelayFixture {};

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

// A faulty target repeats an earlier refusal on a kept connection, without an
// id, while it runs the next request.
TEST_F(TargetCallTest, RefusalWithoutIdOnKeptConnectionIsNotTaken) {
  for (const char* kind : {"safe", "resume"}) {
    int runs = 0;
    const auto script = [&](const ReceivedRequest& request) {
      const std::string id = request.Header("Request-Id");
      if (id == "first") {
        request.stream->Write(SignedResponse(id, "id: 1\ndata: a\n\n"));
      } else if (++runs == 1) {
        request.stream->Write(
            "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
      } else {
        request.stream->Write(SignedResponse(id, "id: 1\ndata: b\n\n"));
      }
    };
    ScriptedTarget a(loop_.get(), script);
    SetTargets({&a});
    SendRequest(Request(kind, "first", "", kind));
    const std::unique_ptr<TestCaller> caller =
        SendRequest(Request(kind, "second", "", kind));
    ASSERT_NE(caller->Response(), nullptr);
    // The target runs it, so that no status may promise the opposite.
    EXPECT_NE(caller->Response()->Head().status, 503) << kind;
    EXPECT_GE(runs, 1) << kind;
  }
}

TEST_F(TargetCallTest, AnswerWithoutIdOnKeptConnectionIsReplaced) {
  int runs = 0;
  const auto script = [&](const ReceivedRequest& request) {
    const std::string id = request.Header("Request-Id");
    if (id == "second" && ++runs == 1) {
      request.stream->Write(
          "HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\n"
          "Content-Length: 5\r\n\r\nother");
    } else {
      request.stream->Write(SignedResponse(id, "own"));
    }
  };
  ScriptedTarget a(loop_.get(), script);
  SetTargets({&a});
  SendRequest(Request("safe", "first"));
  ScriptedTarget b(loop_.get(), script);
  SetTargets({&a, &b});
  for (int i = 0; i < 10 && runs == 0; ++i) {
    const std::unique_ptr<TestCaller> caller =
        SendRequest(Request("safe", "second"));
    ASSERT_NE(caller->Response(), nullptr);
    EXPECT_EQ(*caller->Response()->Body(), "own");
  }
}

// Answers of such a target can't be told apart on a kept connection.
TEST_F(TargetCallTest, ConnectionIsNotKeptIfAnswersBearNoId) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    request.stream->Write(
        "HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\n"
        "Content-Length: 2\r\n\r\nok");
  });
  SetTargets({&target});
  for (const char* id : {"first", "second"}) {
    const std::unique_ptr<TestCaller> caller = SendRequest(Request("safe", id));
    ASSERT_NE(caller->Response(), nullptr);
    EXPECT_EQ(caller->Response()->Head().status, 200);
  }
  EXPECT_NE(target.ReceivedRequests()[0].stream,
            target.ReceivedRequests()[1].stream);
}

TEST_F(TargetCallTest, UnsafeRequestsHaveConnectionsOfTheirOwn) {
  for (const char* kind : {"unsafe", "stream"}) {
    ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
      request.stream->Write(
          SignedResponse(request.Header("Request-Id"), "id: 1\ndata: a\n\n"));
    });
    SetTargets({&target});
    SendRequest(Request(kind, "first"));
    SendRequest(Request(kind, "second"));
    ASSERT_EQ(target.RequestCount(), 2);
    EXPECT_NE(target.ReceivedRequests()[0].stream,
              target.ReceivedRequests()[1].stream);
  }
}

}  // namespace
}  // namespace hornbeamcleat
