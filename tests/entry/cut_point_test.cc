#include <gtest/gtest.h>

#include <atomic>

#include "tests/entry/entry_fixture.h"

namespace hornbeamcleat {
namespace {

bool HasOutcome(const std::string& problem, const std::string& outcome,
                const std::string& reason) {
  return problem.find("\"outcome\":\"" + outcome + "\"") != std::string::npos &&
         problem.find("\"reason\":\"" + reason + "\"") != std::string::npos;
}

void SendStreamOf(SocketPeer& peer, int first, int last) {
  peer.Send(std::string(kStreamHead) + Parts(first, last) +
            std::string(kStreamEnd));
}

void SendNotRun(SocketPeer& peer) {
  peer.Send(PlainAnswer("503 Service Unavailable",
                        "Request-Outcome: not_run\r\nRetry-After-Ms: 10\r\n",
                        ""));
}

class CutPointTest : public EntryFixture {
 protected:
  /// Submits a request and expects the given refusal.
  void ExpectRefusal(const std::string& application, int status,
                     const std::string& outcome, const std::string& reason) {
    auto [peer, head] = Submit(application, "Idempotency-Key: k1\r\n");
    EXPECT_EQ(head.Status(), status);
    EXPECT_EQ(head.Get("content-type"), "application/problem+json");
    const std::string problem = ReadBody(&peer, head);
    EXPECT_TRUE(HasOutcome(problem, outcome, reason)) << problem;
    EXPECT_TRUE(WaitForMetric("refusals_total{reason=\"" + reason + "\"} 1"));
  }
};

TEST_F(CutPointTest, SubmitConnectionRefusedIsNotRun) {
  {
    const FakeTarget stopped([](const TargetCall&, SocketPeer&) {});
    AddTargetAt(stopped.Listening().ToString());
  }
  StartEntry();
  ExpectRefusal("chat", 503, "not_run", "target_refused");
}

TEST_F(CutPointTest, SubmitConnectionRefusedRunsAtOtherTarget) {
  {
    const FakeTarget stopped([](const TargetCall&, SocketPeer&) {});
    AddTargetAt(stopped.Listening().ToString());
  }
  FakeTarget* target = AddTarget(
      [](const TargetCall&, SocketPeer& peer) { SendStreamOf(peer, 1, 2); });
  StartEntry();
  for (int i = 1; i <= 4; ++i) {
    auto [peer, head] = Submit();
    EXPECT_EQ(ReadChunks(&peer), WholeAnswer(2));
    EXPECT_EQ(target->Count(&TargetCall::IsRun), i);
  }
}

TEST_F(CutPointTest, SubmitHalfSentRequestIsUnknown) {
  std::atomic<int> connections{0};
  const SocketServer target([&](SocketPeer& peer) {
    ++connections;
    peer.ReadExactly(1);
    peer.Reset();
  });
  AddTargetAt(target.Listening().ToString());
  options_.load_period = std::chrono::hours(1);
  options_.cache_period = std::chrono::hours(1);
  StartEntry();
  auto [peer, head] = Submit("chat", "", std::string(60'000, 'x'));
  EXPECT_EQ(head.Status(), 504);
  EXPECT_TRUE(HasOutcome(ReadBody(&peer, head), "unknown", "target_lost"));
  // One run and one attempt to resume it.
  EXPECT_EQ(connections, 2);
}

TEST_F(CutPointTest, SubmitAnswerLostAndDiscardedByTargetIsUnknown) {
  FakeTarget* target = AddTarget([](const TargetCall& call, SocketPeer& peer) {
    if (call.IsResume()) {
      peer.Send(PlainAnswer("404 Not Found", "", ""));
    }
  });
  StartEntry();
  ExpectRefusal("pay", 504, "unknown", "target_lost");
  EXPECT_EQ(target->Count(&TargetCall::IsRun), 1);
}

TEST_F(CutPointTest, SubmitAnswerLostAndKeptByTargetIsResumed) {
  FakeTarget* target = AddTarget([](const TargetCall& call, SocketPeer& peer) {
    if (call.IsResume()) {
      SendStreamOf(peer, 1, 3);
    }
  });
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_EQ(ReadChunks(&peer), WholeAnswer(3));
  EXPECT_EQ(target->Count(&TargetCall::IsRun), 1);
}

TEST_F(CutPointTest, SubmitResetMidStreamIsResumedAfterLastPart) {
  FakeTarget* target = AddTarget([](const TargetCall& call, SocketPeer& peer) {
    if (call.IsRun()) {
      peer.Send(std::string(kStreamHead) + Parts(1, 2));
      peer.Reset();
    } else {
      EXPECT_EQ(call.head.Get("last-event-id"), "2");
      SendStreamOf(peer, 3, 4);
    }
  });
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_EQ(ReadChunks(&peer), WholeAnswer(4));
  EXPECT_EQ(target->Count(&TargetCall::IsRun), 1);
}

// A stream is whole only with its last event, however its response is framed.
TEST_F(CutPointTest, SubmitStreamEndsInsideEventOfEachFramingIsResumed) {
  for (const std::string cut : {"id: 2\ndata: pa", "data: [DONE]\n", ""}) {
    const std::string body = Parts(1, 1) + cut;
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    const std::string type = "Content-Type: text/event-stream\r\n";
    std::string chunked = "HTTP/1.1 200 OK\r\n" + type;
    chunked.append("Transfer-Encoding: chunked\r\n\r\n")
        .append(size)
        .append(body)
        .append("\r\n0\r\n\r\n");
    for (const std::string& response :
         {std::string(kStreamHead) + body, PlainAnswer("200 OK", type, body),
          chunked}) {
      targets_.clear();
      config_ = std::make_shared<ConfigState>();
      FakeTarget* target =
          AddTarget([&response](const TargetCall& call, SocketPeer& peer) {
            if (call.IsRun()) {
              peer.Send(response);
            } else {
              SendStreamOf(peer, 2, 3);
            }
          });
      StartEntry();
      auto [peer, head] = Submit();
      EXPECT_EQ(ReadChunks(&peer), WholeAnswer(3)) << response;
      EXPECT_EQ(target->Count(&TargetCall::IsRun), 1);
      entry_.reset();
      control_.reset();
    }
  }
}

TEST_F(CutPointTest, SubmitStreamAndResumeEndInsideEventHasNoEndEvent) {
  AddTarget([](const TargetCall& call, SocketPeer& peer) {
    peer.Send(std::string(kStreamHead) +
              (call.IsRun() ? Parts(1, 1) + "id: 2\nda" : "id: 2\nda"));
  });
  StartEntry();
  auto [peer, head] = Submit();
  const std::string body = ReadChunks(&peer);
  EXPECT_TRUE(body.starts_with(Parts(1, 1) + "event: error\n")) << body;
  EXPECT_EQ(body.find("event: end"), std::string::npos);
}

TEST_F(CutPointTest, SubmitPlainAnswerCutInEachFramingIsNoSuccess) {
  for (const std::string response :
       {"Content-Length: 5\r\n\r\nwho",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwho"}) {
    targets_.clear();
    config_ = std::make_shared<ConfigState>();
    AddTarget([&response](const TargetCall& call, SocketPeer& peer) {
      if (call.IsRun()) {
        peer.Send("HTTP/1.1 200 OK\r\n" + response);
      } else {
        peer.Send(PlainAnswer("404 Not Found", "", ""));
      }
    });
    StartEntry();
    auto [peer, head] = Submit();
    EXPECT_EQ(head.Status(), 504) << response;
    entry_.reset();
    control_.reset();
  }
}

TEST_F(CutPointTest, SubmitUnframedPlainAnswerIsWhole) {
  AddTarget([](const TargetCall&, SocketPeer& peer) {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n\r\nwhole");
  });
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_EQ(head.Status(), 200);
  EXPECT_EQ(ReadBody(&peer, head), "whole");
}

TEST_F(CutPointTest, SubmitStalledConnectionIsResumedOverSecondOne) {
  options_.scheduler.stall_time = std::chrono::milliseconds(200);
  FakeTarget* target = AddTarget([](const TargetCall& call, SocketPeer& peer) {
    if (call.IsRun()) {
      peer.Send(std::string(kStreamHead) + Parts(1, 1));
      peer.ReadToEnd();
    } else {
      SendStreamOf(peer, 2, 3);
    }
  });
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_EQ(ReadChunks(&peer), WholeAnswer(3));
  EXPECT_EQ(target->Count(&TargetCall::IsRun), 1);
}

TEST_F(CutPointTest, SubmitFrozenTargetEndsAsUnknownInStream) {
  options_.scheduler.stall_time = std::chrono::milliseconds(200);
  FakeTarget* target = AddTarget([](const TargetCall& call, SocketPeer& peer) {
    if (call.IsRun()) {
      peer.Send(std::string(kStreamHead) + Parts(1, 1));
    }
    peer.ReadToEnd();
  });
  StartEntry();
  auto [peer, head] = Submit();
  const std::string body = ReadChunks(&peer);
  EXPECT_TRUE(body.starts_with(Parts(1, 1) + "event: error\n")) << body;
  EXPECT_TRUE(HasOutcome(body, "unknown", "target_lost")) << body;
  EXPECT_EQ(target->Count(&TargetCall::IsRun), 1);
}

TEST_F(CutPointTest, SubmitTargetCrashesAfterFirstPartEndsAsUnknownInStream) {
  FakeTarget* target = AddTarget([](const TargetCall& call, SocketPeer& peer) {
    if (call.IsRun()) {
      peer.Send(std::string(kStreamHead) + Parts(1, 1));
    }
    peer.Reset();
  });
  StartEntry();
  auto [peer, head] = Submit();
  const std::string body = ReadChunks(&peer);
  EXPECT_TRUE(HasOutcome(body, "unknown", "target_lost")) << body;
  EXPECT_EQ(target->Count(&TargetCall::IsRun), 1);
}

TEST_F(CutPointTest, SubmitReportedNotRunByTargetsIsNotRun) {
  FakeTarget* first =
      AddTarget([](const TargetCall&, SocketPeer& peer) { SendNotRun(peer); });
  FakeTarget* second =
      AddTarget([](const TargetCall&, SocketPeer& peer) { SendNotRun(peer); });
  StartEntry();
  ExpectRefusal("pay", 503, "not_run", "target_refused");
  EXPECT_EQ(
      first->Count(&TargetCall::IsRun) + second->Count(&TargetCall::IsRun),
      options_.scheduler.max_attempts);
}

TEST_F(CutPointTest, SubmitTargetFailureIsFailed) {
  AddTarget([](const TargetCall&, SocketPeer& peer) {
    peer.Send(PlainAnswer("500 Internal Server Error", "", ""));
  });
  StartEntry();
  ExpectRefusal("chat", 502, "failed", "target_failed");
}

TEST_F(CutPointTest, SubmitIntentUndecidedIsNotRun) {
  options_.propose_timeout = std::chrono::milliseconds(200);
  FakeTarget* target = AddTarget([](const TargetCall&, SocketPeer&) {});
  StartEntry(std::nullopt);
  ExpectRefusal("pay", 503, "not_run", "log_unavailable");
  EXPECT_EQ(target->Count(&TargetCall::IsRun), 0);
}

TEST_F(CutPointTest, SubmitControlDownRefusesOnlyNonIdempotent) {
  AddTarget(
      [](const TargetCall&, SocketPeer& peer) { SendStreamOf(peer, 1, 1); });
  StartEntry();
  control_.reset();
  ASSERT_TRUE(WaitForMetric("standing{state=\"control_link\"} 0"));
  ExpectRefusal("pay", 503, "not_run", "log_unavailable");
  auto [peer, head] = Submit();
  EXPECT_EQ(ReadChunks(&peer), WholeAnswer(1));
}

TEST_F(CutPointTest, SubmitIntentLostIsUnknownAndNeverSent) {
  FakeTarget* target = AddTarget([](const TargetCall&, SocketPeer&) {});
  StartEntry(IntentResult::kLost);
  ExpectRefusal("pay", 504, "unknown", "duplicate");
  EXPECT_EQ(target->Count(&TargetCall::IsRun), 0);
}

TEST_F(CutPointTest, SubmitBeforeFirstViewIsNotRun) {
  options_.control = SocketServer([](SocketPeer&) {}).Listening();
  StartEntryAlone();
  EXPECT_EQ(AdminStatus("/readyz"), 503);
  ExpectRefusal("chat", 503, "not_run", "not_ready");
}

}  // namespace
}  // namespace hornbeamcleat
