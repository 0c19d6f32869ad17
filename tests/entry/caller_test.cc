#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/entry/entry_fixture.h"

namespace hornbeamcleat {
namespace {

class CallerTest : public EntryFixture {
 protected:
  /// Adds a target that answers a run with part 1 and then sends nothing, and
  /// a resume with the parts up to 3.
  void AddStalledTarget() {
    target_ = AddTarget([](const TargetCall& call, SocketPeer& peer) {
      if (call.IsRun()) {
        peer.Send(std::string(kStreamHead) + Parts(1, 1));
        peer.ReadToEnd();
      } else if (call.IsResume()) {
        const int last = std::atoi(call.head.Get("last-event-id").c_str());
        peer.Send(std::string(kStreamHead) + Parts(last + 1, 3) +
                  std::string(kStreamEnd));
      } else {
        peer.Send(PlainAnswer("200 OK", "", ""));
      }
    });
  }

  std::string Get(const std::string& path) {
    SocketPeer peer = Connect();
    peer.Send("GET " + path + " HTTP/1.1\r\nHost: t\r\n\r\n");
    const HttpHead head = ReadHead(&peer);
    return ReadBody(&peer, head);
  }

  FakeTarget* target_ = nullptr;
};

TEST_F(CallerTest, CallerDisconnectsMidStreamCancelsAtTarget) {
  AddStalledTarget();
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_EQ(ReadChunk(&peer), Parts(1, 1));
  peer.Close();
  EXPECT_TRUE(target_->WaitFor(&TargetCall::IsCancel, 1));
  EXPECT_TRUE(WaitForMetric("refusals_total{reason=\"caller_gone\"} 1"));
}

TEST_F(CallerTest, CallerDisconnectsWhileQueuedCausesNoRun) {
  AddStalledTarget();
  options_.propose_timeout = std::chrono::hours(1);
  StartEntry(std::nullopt);
  SocketPeer peer = Connect();
  peer.Send(SubmitText("pay", "Idempotency-Key: k1\r\n"));
  ASSERT_TRUE(WaitForMetric("requests_total{tier=\"gold\"} 1"));
  peer.Close();
  EXPECT_TRUE(WaitForMetric("refusals_total{reason=\"caller_gone\"} 1"));
  EXPECT_EQ(target_->Count(&TargetCall::IsRun), 0);
}

TEST_F(CallerTest, SlowCallerIsDroppedAndItsWorkCancelled) {
  target_ = AddTarget([](const TargetCall& call, SocketPeer& peer) {
    if (call.IsRun()) {
      peer.Send(kStreamHead);
      const std::string data(8'000, 'x');
      for (int i = 1; i <= 2'000; ++i) {
        peer.Send("id: " + std::to_string(i) + "\ndata: " + data + "\n\n");
      }
      peer.ReadToEnd();
    }
  });
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_TRUE(target_->WaitFor(&TargetCall::IsCancel, 1));
  EXPECT_TRUE(WaitForMetric("event=\"slow_callers\"} 1"));
}

TEST_F(CallerTest, CallerResumesWithinGraceGetsRemainingParts) {
  options_.caller_grace = std::chrono::hours(1);
  AddStalledTarget();
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_EQ(ReadChunk(&peer), Parts(1, 1));
  peer.Close();
  auto [again, resumed] = ResumeWith(head, "1");
  EXPECT_EQ(Parts(1, 1) + ReadChunks(&again), WholeAnswer(3));
  EXPECT_EQ(target_->Count(&TargetCall::IsRun), 1);
  EXPECT_EQ(target_->Count(&TargetCall::IsCancel), 0);
  EXPECT_TRUE(WaitForMetric("outcomes_total{outcome=\"whole\"} 1"));
}

TEST_F(CallerTest, CallerResumesAtOtherEntryGetsRemainingParts) {
  options_.caller_grace = std::chrono::hours(1);
  AddStalledTarget();
  StartEntry();
  const std::unique_ptr<EntryPart> first = std::move(entry_);
  auto [peer, head] = [&] {
    SocketPeer caller = SocketPeer::Connect(first->Listening());
    caller.Send(SubmitText("chat"));
    HttpHead answer = ReadHead(&caller);
    return std::pair(std::move(caller), std::move(answer));
  }();
  EXPECT_EQ(ReadChunk(&peer), Parts(1, 1));
  StartEntryAlone();
  auto [again, resumed] = ResumeWith(head, "1");
  EXPECT_EQ(resumed.Get("request-id"), head.Get("request-id"));
  EXPECT_EQ(Parts(1, 1) + ReadChunks(&again), WholeAnswer(3));
  // The first entry is told of the resume and finishes the request without
  // cancelling it at the target.
  EXPECT_TRUE(WaitForMetric("refusals_total{reason=\"caller_gone\"} 1"));
  EXPECT_EQ(target_->Count(&TargetCall::IsCancel), 0);
}

TEST_F(CallerTest, CallerCancelsWithHandleStopsTarget) {
  AddStalledTarget();
  StartEntry();
  auto [peer, head] = Submit();
  SocketPeer other = Connect();
  other.Send("DELETE /v1/answers/" + head.Get("request-id") +
             " HTTP/1.1\r\nHost: t\r\nResume-Handle: " +
             head.Get("resume-handle") + "\r\n\r\n");
  EXPECT_EQ(ReadHead(&other).Status(), 202);
  EXPECT_TRUE(target_->WaitFor(&TargetCall::IsCancel, 1));
}

TEST_F(CallerTest, ResumeForgedHandleIsRefusedAndCounted) {
  AddStalledTarget();
  StartEntry();
  auto [peer, head] = Submit();
  HttpHead forged = head;
  char& digit = forged.headers["resume-handle"][70];
  digit = digit == '0' ? '1' : '0';
  EXPECT_EQ(ResumeWith(forged, "0").second.Status(), 400);
  EXPECT_TRUE(WaitForMetric("event=\"bad_handles\"} 1"));
}

TEST_F(CallerTest, SubmitDuplicateOpenRequestIdIsRefused) {
  AddStalledTarget();
  StartEntry();
  auto [first, head] = Submit("chat", "Request-Id: same\r\n");
  EXPECT_EQ(Submit("chat", "Request-Id: same\r\n").second.Status(), 504);
  EXPECT_EQ(target_->Count(&TargetCall::IsRun), 1);
}

TEST_F(CallerTest, SubmitMalformedHeadersAreRefusedAndCounted) {
  AddStalledTarget();
  StartEntry();
  EXPECT_EQ(Submit("chat", "Deadline-Ms: soon\r\n").second.Status(), 400);
  EXPECT_EQ(Submit("chat", "Request-Id: a/b\r\n").second.Status(), 400);
  EXPECT_TRUE(WaitForMetric("event=\"bad_requests\"} 2"));
  EXPECT_TRUE(WaitForMetric("refusals_total{reason=\"bad_request\"} 2"));
}

TEST_F(CallerTest, SubmitOversizedBodyIsRefusedAndCounted) {
  AddStalledTarget();
  StartEntry();
  const std::string large(options_.max_body + 1, 'x');
  EXPECT_EQ(Submit("chat", "", large).second.Status(), 413);
  EXPECT_TRUE(WaitForMetric("event=\"oversized_input\"} 1"));
}

TEST_F(CallerTest, SubmitNotHttpIsCountedAndOthersAreServed) {
  AddStalledTarget();
  StartEntry();
  SocketPeer peer = Connect();
  peer.Send("\x16\x03\x01 nonsense\r\n\r\n");
  peer.ReadToEnd();
  EXPECT_TRUE(WaitForMetric("event=\"malformed_input\"}"));
  EXPECT_EQ(Submit().second.Status(), 200);
}

TEST_F(CallerTest, AddressesListAllEntriesUntilThisOneDrains) {
  AddStalledTarget();
  StartEntry();
  EXPECT_NE(Get("/v1/addresses").find("entry-1"), std::string::npos);
  auto [peer, head] = Submit();
  entry_->Drain(Time());
  EXPECT_TRUE(control_->WaitForReport(
      [](const ReportMessage& report) { return report.draining; }));
  const std::string addresses = Get("/v1/addresses");
  EXPECT_EQ(addresses.find("entry-1"), std::string::npos);
  EXPECT_NE(addresses.find("entry-2"), std::string::npos);
  auto [refused, problem] = Submit();
  EXPECT_EQ(problem.Status(), 503);
  EXPECT_NE(ReadBody(&refused, problem).find("entry-2"), std::string::npos);
  EXPECT_FALSE(entry_->Drained());
}

}  // namespace
}  // namespace hornbeamcleat
