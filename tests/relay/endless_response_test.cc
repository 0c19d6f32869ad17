#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "tests/relay/heap_bytes.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

/// More than sockets on loopback hold, so that a target can only send this much
/// if the relay keeps reading.
constexpr std::size_t kMaxTakenBytes = std::size_t{16} << 20;
/// Well below the requests' deadline of 2 s, at which anything ends.
constexpr Duration kMaxAnswerTime = std::chrono::milliseconds(1'000);

std::string Repeat(const std::string& text) {
  std::string all;
  while (all.size() < 65'536) {
    all += text;
  }
  return all;
}

/// A response that goes on until the relay closes the connection.
struct EndlessResponse {
  std::string name;
  std::string begin;
  std::string rest;  ///< sent again and again
};

/// Targets that send bytes without end until the relay closes the connection.
class EndlessResponseTest : public RelayFixture {
 protected:
  static std::string Head(const std::string& status,
                          const std::string& more_headers) {
    return "HTTP/1.1 " + status + " X\r\nRequest-Id: r1\r\n" + more_headers +
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  static std::vector<EndlessResponse> Responses() {
    const std::string chunk = "8\r\ngarbage\n\r\n";
    const std::string is_signed = "Upstream-Signature: s\r\n";
    const std::string other =
        "HTTP/1.1 200 X\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nab";
    return {
        {"head without lines", "", Repeat("garbage ")},
        {"header lines", "HTTP/1.1 200 X\r\n", Repeat("A: b\r\n")},
        {"interim responses", "", Repeat("HTTP/1.1 100 Continue\r\n\r\n")},
        {"responses to other requests", "", Repeat(other)},
        {"body of another request's response",
         "HTTP/1.1 200 X\r\nRequest-Id: other\r\n"
         "Transfer-Encoding: chunked\r\n\r\n",
         Repeat(chunk)},
        {"not executed", Head("503", "Not-Executed: 1\r\n"), Repeat(chunk)},
        {"failure", Head("500", is_signed), Repeat(chunk)},
        {"unsigned", Head("200", ""), Repeat(chunk)},
        {"chunk size", Head("200", is_signed), Repeat("00000000")},
        {"chunk extension", Head("200", is_signed) + "8;a=", Repeat("garbage")},
        {"trailers", Head("200", is_signed) + "0\r\n", Repeat("A: b\r\n")},
    };
  }

  /// Sends a request to a target that responds without end, and returns the
  /// caller after its response. A second target responds regularly.
  std::unique_ptr<TestCaller> SendTo(const EndlessResponse& endless,
                                     const std::string& kind) {
    taken_ = 0;
    relay_->OnConfigConfirmed(clock_->SuspendAwareNow());
    ByteStream* stream = nullptr;
    int n = 0;
    const auto script = [&](const ReceivedRequest& request) {
      if (n++ == 0) {
        request.stream->Write(endless.begin);
        stream = request.stream;
      } else {
        request.stream->Write(SignedResponse("r1", "ok"));
      }
    };
    ScriptedTarget a(loop_.get(), script);
    ScriptedTarget b(loop_.get(), script);
    relay_->SetTargets({Spec(endless.name + kind + "a", a),
                        Spec(endless.name + kind + "b", b)});
    std::unique_ptr<TestCaller> caller =
        std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress());
    const Time start = clock_->Now();
    caller->Send(Request(kind, "r1", "", endless.name));
    EXPECT_TRUE(RunUntil([&] {
      if (stream != nullptr && stream->Unsent() == 0 &&
          a.ClosedCount() + b.ClosedCount() == 0) {
        stream->Write(endless.rest);
        taken_ += endless.rest.size();
      }
      return caller->Ended() || caller->Response() != nullptr;
    })) << endless.name;
    took_ = clock_->Now() - start;
    return caller;
  }

  std::size_t taken_ = 0;  ///< bytes that the target could send
  Duration took_{0};
};

TEST_F(EndlessResponseTest, RepeatableRequestIsAnsweredByAnotherTarget) {
  for (const EndlessResponse& endless : Responses()) {
    const std::unique_ptr<TestCaller> caller = SendTo(endless, "safe");
    ASSERT_NE(caller->Response(), nullptr) << endless.name;
    EXPECT_EQ(caller->Response()->Head().status, 200) << endless.name;
    EXPECT_EQ(*caller->Response()->Body(), "ok") << endless.name;
    EXPECT_LT(took_, kMaxAnswerTime) << endless.name;
    EXPECT_LT(taken_, kMaxTakenBytes) << endless.name;
  }
}

TEST_F(EndlessResponseTest, RequestThatMustNotRepeatFailsInTime) {
  for (const EndlessResponse& endless : Responses()) {
    const std::unique_ptr<TestCaller> caller = SendTo(endless, "unsafe");
    const bool was_executed = endless.name != "not executed";
    if (endless.name == "chunk size" || endless.name == "chunk extension" ||
        endless.name == "trailers") {
      EXPECT_TRUE(caller->Ended() || caller->Response() != nullptr);
    } else {
      ASSERT_NE(caller->Response(), nullptr) << endless.name;
      EXPECT_EQ(caller->Response()->Head().status, was_executed ? 502 : 200)
          << endless.name;
    }
    EXPECT_LT(took_, kMaxAnswerTime) << endless.name;
    EXPECT_LT(taken_, kMaxTakenBytes) << endless.name;
  }
}

TEST_F(EndlessResponseTest, EventWithoutEndIsBrokenOff) {
  const std::string head = Head(
      "200", "Upstream-Signature: s\r\nContent-Type: text/event-stream\r\n");
  const EndlessResponse endless = {"event",
                                   head + "f\r\nid: 1\ndata: a\n\n\r\n",
                                   Repeat("8\r\ngarbage\n\r\n")};
  for (const char* kind : {"stream", "resume"}) {
    const std::unique_ptr<TestCaller> caller = SendTo(endless, kind);
    EXPECT_TRUE(caller->Ended()) << kind;
    EXPECT_EQ(caller->Response(), nullptr) << kind;
    EXPECT_LT(took_, kMaxAnswerTime) << kind;
    EXPECT_LT(taken_, kMaxTakenBytes) << kind;
  }
}

// A resumed stream is read by the same rules as the first one.
TEST_F(EndlessResponseTest, ResumedStreamWithoutEndIsBrokenOff) {
  const std::string head = Head(
      "200", "Upstream-Signature: s\r\nContent-Type: text/event-stream\r\n");
  ByteStream* stream = nullptr;
  int n = 0;
  const auto script = [&](const ReceivedRequest& request) {
    if (n++ == 0) {
      request.stream->Write(head + "f\r\nid: 1\ndata: a\n\n\r\n");
      request.stream->FinishWriting();
    } else {
      request.stream->Write(head);
      stream = request.stream;
    }
  };
  ScriptedTarget a(loop_.get(), script);
  ScriptedTarget b(loop_.get(), script);
  SetTargets({&a, &b});
  TestCaller caller(loop_.get(), relay_->CallerAddress());
  const Time start = clock_->Now();
  caller.Send(Request("resume"));
  const std::string rest = Repeat("8\r\ngarbage\n\r\n");
  std::size_t taken = 0;
  EXPECT_TRUE(RunUntil([&] {
    if (stream != nullptr && stream->Unsent() == 0 && !caller.Ended()) {
      stream->Write(rest);
      taken += rest.size();
    }
    return caller.Ended();
  }));
  EXPECT_EQ(n, 2);
  EXPECT_LT(clock_->Now() - start, kMaxAnswerTime);
  EXPECT_LT(taken, kMaxTakenBytes);
}

// Guards against a process that runs out of memory, and ends with the requests
// of all its callers, because each of many responses is held up to a limit of
// its own.
TEST_F(EndlessResponseTest, ManyResponsesAreHeldInPartOfMemory) {
  constexpr std::size_t kBytes = 1'000'000;
  constexpr std::size_t kHeadBytes = 60'000;
  constexpr Duration kReadTime = std::chrono::milliseconds(300);
  RelayOptions options = Options();
  // Half is left for the rest: a quarter for the bodies of requests, another
  // one for the process itself.
  options.memory_bytes = std::size_t{32} << 20;
  const std::string event_head = Head(
      "200", "Upstream-Signature: s\r\nContent-Type: text/event-stream\r\n");
  struct Case {
    const char* name;
    const char* kind;
    std::string head;
    std::string unit;
    std::size_t bytes;
  };
  const std::string chunk = "8\r\ngarbage\n\r\n";
  const std::vector<Case> cases = {
      {"event", "resume", event_head, "9\r\ndata: a\nb\r\n", kBytes},
      {"failure", "unsafe", Head("500", "Upstream-Signature: s\r\n"), chunk,
       kBytes},
      {"body", "unsafe", Head("200", "Upstream-Signature: s\r\n"), chunk,
       kBytes},
      {"head", "unsafe", "HTTP/1.1 200 X\r\n", "A: b\r\n", kHeadBytes}};
  for (const Case& endless : cases) {
    for (const int n : {1, 3, 90}) {
      relay_.reset();
      relay_ = MakeRelay(options);
      Configure(Config());
      relay_->OnConfigConfirmed(clock_->SuspendAwareNow());
      std::vector<ByteStream*> streams;
      std::string bytes = endless.head;
      while (bytes.size() < endless.bytes) {
        bytes += endless.unit;
      }
      std::vector<std::unique_ptr<ScriptedTarget>> targets;
      std::vector<const ScriptedTarget*> list;
      for (int i = 0; i < n; ++i) {
        targets.push_back(std::make_unique<ScriptedTarget>(
            loop_.get(), [&](const ReceivedRequest& request) {
              streams.push_back(request.stream);
            }));
        list.push_back(targets.back().get());
      }
      SetTargets(list);
      const auto closed_count = [&targets] {
        int closed = 0;
        for (const std::unique_ptr<ScriptedTarget>& target : targets) {
          closed += target->ClosedCount();
        }
        return closed;
      };
      std::vector<std::unique_ptr<TestCaller>> callers;
      for (int i = 0; i < n; ++i) {
        callers.push_back(
            std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress()));
        callers.back()->SetReading(false);
        callers.back()->Send(
            Request(endless.kind, "r1", "", std::to_string(i)));
      }
      ASSERT_TRUE(RunUntil(
          [&] { return streams.size() == static_cast<std::size_t>(n); }));
      const std::size_t before = HeapBytes();
      std::size_t most = before;
      for (ByteStream* stream : streams) {
        const int closed = closed_count();
        stream->Write(bytes);
        ASSERT_TRUE(RunUntil([&] {
          most = std::max(most, HeapBytes());
          return closed_count() > closed || stream->Unsent() == 0;
        }));
      }
      // What the targets have sent may still be in the sockets.
      const Time read_by = clock_->Now() + kReadTime;
      ASSERT_TRUE(RunUntil([&] {
        most = std::max(most, HeapBytes());
        return clock_->Now() >= read_by;
      }));
      EXPECT_LT(most - before, options.memory_bytes / 2)
          << endless.name << ", " << n << " responses";
    }
  }
}

// Bytes behind a complete response end the connection.
TEST_F(EndlessResponseTest, BytesBehindResponseAreNotRead) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    request.stream->Write(SignedResponse("r1", "ok"));
  });
  SetTargets({&target});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("safe"));
  ASSERT_NE(caller->Response(), nullptr);
  ByteStream* stream = target.ReceivedRequests()[0].stream;
  std::size_t taken = 0;
  const std::string rest = Repeat("garbage");
  EXPECT_TRUE(RunUntil([&] {
    if (stream->Unsent() == 0 && target.ClosedCount() == 0) {
      stream->Write(rest);
      taken += rest.size();
    }
    return target.ClosedCount() > 0;
  }));
  EXPECT_LT(taken, kMaxTakenBytes);
}

// Other requests go on while a target sends an endless body to one caller.
TEST_F(EndlessResponseTest, RequestsBesideEndlessBodyAreAnswered) {
  const std::string rest = Repeat("8\r\ngarbage\n\r\n");
  ByteStream* stream = nullptr;
  ScriptedTarget target(loop_.get(), [&](const ReceivedRequest& request) {
    if (request.body == "endless") {
      request.stream->Write(Head("200", "Upstream-Signature: s\r\n"));
      stream = request.stream;
    } else {
      request.stream->Write(SignedResponse("r1", "ok"));
    }
  });
  SetTargets({&target});
  TestCaller endless(loop_.get(), relay_->CallerAddress());
  endless.Send(Request("unsafe", "r1", "", "endless"));
  ASSERT_TRUE(RunUntil([&stream] { return stream != nullptr; }));
  const Time start = clock_->Now();
  for (int i = 0; i < 20; ++i) {
    TestCaller caller(loop_.get(), relay_->CallerAddress());
    const Time sent_at = clock_->Now();
    caller.Send(Request("safe", "r1", "", "other"));
    ASSERT_TRUE(RunUntil([&] {
      if (stream->Unsent() == 0 && !endless.Ended()) {
        stream->Write(rest);
      }
      return caller.Response() != nullptr;
    }));
    EXPECT_LT(clock_->Now() - sent_at, std::chrono::milliseconds(200));
  }
  // The caller reads, so the response goes on until the request's deadline.
  ASSERT_TRUE(RunUntil([&] {
    if (stream->Unsent() == 0 && !endless.Ended()) {
      stream->Write(rest);
    }
    return endless.Ended();
  }));
  EXPECT_LT(clock_->Now() - start, std::chrono::milliseconds(2'500));
}

}  // namespace
}  // namespace hornbeamcleat
