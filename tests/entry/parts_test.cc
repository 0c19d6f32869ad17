#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/entry/entry_fixture.h"

namespace hornbeamcleat {
namespace {

class PartsTest : public EntryFixture {
 protected:
  /// Starts an entry with a target that answers a run with `run`, and a resume
  /// with the parts after its Last-Event-ID up to 4.
  void StartWithRunAnswer(const std::string& run) {
    target_ = AddTarget([run](const TargetCall& call, SocketPeer& peer) {
      if (call.IsRun()) {
        peer.Send(run);
        return;
      }
      const int last = std::atoi(call.head.Get("last-event-id").c_str());
      peer.Send(std::string(kStreamHead) + Parts(last + 1, 4) +
                std::string(kStreamEnd));
    });
    StartEntry();
  }

  void ExpectCompleteAnswer(int resumes, const std::string& event) {
    auto [peer, head] = Submit();
    EXPECT_EQ(ReadChunks(&peer), WholeAnswer(4));
    EXPECT_EQ(target_->Count(&TargetCall::IsRun), 1);
    EXPECT_EQ(target_->Count(&TargetCall::IsResume), resumes);
    EXPECT_TRUE(WaitForMetric("traffic_events_total{event=\"" + event + "\"}"));
  }

  FakeTarget* target_ = nullptr;
};

TEST_F(PartsTest, StreamLateAndDuplicatePartsAreDropped) {
  StartWithRunAnswer(std::string(kStreamHead) + Parts(1, 2) + Parts(1, 3) +
                     Parts(2, 2) + Parts(4, 4) + std::string(kStreamEnd));
  ExpectCompleteAnswer(0, "duplicate_parts");
}

TEST_F(PartsTest, StreamMissingPartIsFetchedAgain) {
  StartWithRunAnswer(std::string(kStreamHead) + Parts(1, 1) + Parts(3, 4) +
                     std::string(kStreamEnd));
  ExpectCompleteAnswer(1, "part_gaps");
}

TEST_F(PartsTest, StreamMissingLastPartIsFetchedAgain) {
  StartWithRunAnswer(std::string(kStreamHead) + Parts(1, 3) +
                     "id: 5\ndata: [DONE]\n\n");
  ExpectCompleteAnswer(1, "part_gaps");
}

TEST_F(PartsTest, StreamTruncatedIsResumed) {
  StartWithRunAnswer(std::string(kStreamHead) + Parts(1, 4));
  ExpectCompleteAnswer(1, "truncated_streams");
}

TEST_F(PartsTest, StreamOfAnotherRequestIsDropped) {
  StartWithRunAnswer(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Request-Id: other\r\n\r\nid: 1\ndata: foreign\n\n" +
      Parts(2, 4) + std::string(kStreamEnd));
  ExpectCompleteAnswer(1, "crossed_answers");
}

// Guards against a buffer that grows beyond the limit.
TEST_F(PartsTest, StreamOversizedPartFails) {
  StartWithRunAnswer(std::string(kStreamHead) + "data: " +
                     std::string(options_.max_part + 1, 'x') + "\n\n");
  auto [peer, head] = Submit();
  EXPECT_NE(ReadChunks(&peer).find("\"outcome\":\"failed\""),
            std::string::npos);
}

// Guards against a buffer that grows beyond the limit.
TEST_F(PartsTest, PlainOversizedAnswerFails) {
  StartWithRunAnswer(
      PlainAnswer("200 OK", "", std::string(options_.max_answer + 1, 'x')));
  auto [peer, head] = Submit();
  EXPECT_EQ(head.Status(), 502);
}

}  // namespace
}  // namespace hornbeamcleat
