#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/entry/entry_fixture.h"

namespace hornbeamcleat {
namespace {

class PartsTest : public EntryFixture {
 protected:
  /// The run answers with `run`; a resume goes on after its Last-Event-ID up to
  /// part 4.
  void AnswerWith(const std::string& run) {
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

  void ExpectWhole(int resumes, const std::string& event) {
    auto [peer, head] = Submit();
    EXPECT_EQ(ReadChunks(&peer), WholeAnswer(4));
    EXPECT_EQ(target_->Count(&TargetCall::IsRun), 1);
    EXPECT_EQ(target_->Count(&TargetCall::IsResume), resumes);
    EXPECT_TRUE(WaitForMetric("traffic_events_total{event=\"" + event + "\"}"));
  }

  FakeTarget* target_ = nullptr;
};

TEST_F(PartsTest, StreamLateAndDuplicatePartsAreDropped) {
  AnswerWith(std::string(kStreamHead) + Parts(1, 2) + Parts(1, 3) +
             Parts(2, 2) + Parts(4, 4) + std::string(kStreamEnd));
  ExpectWhole(0, "duplicate_parts");
}

TEST_F(PartsTest, StreamMissingPartIsFetchedAgain) {
  AnswerWith(std::string(kStreamHead) + Parts(1, 1) + Parts(3, 4) +
             std::string(kStreamEnd));
  ExpectWhole(1, "part_gaps");
}

TEST_F(PartsTest, StreamMissingLastPartIsFetchedAgain) {
  AnswerWith(std::string(kStreamHead) + Parts(1, 3) +
             "id: 5\ndata: [DONE]\n\n");
  ExpectWhole(1, "part_gaps");
}

TEST_F(PartsTest, StreamWithoutItsEndIsResumed) {
  AnswerWith(std::string(kStreamHead) + Parts(1, 4));
  ExpectWhole(1, "truncated_streams");
}

TEST_F(PartsTest, StreamOfAnotherRequestIsDropped) {
  AnswerWith(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Request-Id: other\r\n\r\nid: 1\ndata: foreign\n\n" +
      Parts(2, 4) + std::string(kStreamEnd));
  ExpectWhole(1, "crossed_answers");
}

TEST_F(PartsTest, StreamOversizedPartFailsInsteadOfGrowing) {
  AnswerWith(std::string(kStreamHead) +
             "data: " + std::string(options_.max_part + 1, 'x') + "\n\n");
  auto [peer, head] = Submit();
  EXPECT_NE(ReadChunks(&peer).find("\"outcome\":\"failed\""),
            std::string::npos);
}

TEST_F(PartsTest, PlainOversizedAnswerFailsInsteadOfGrowing) {
  AnswerWith(
      PlainAnswer("200 OK", "", std::string(options_.max_answer + 1, 'x')));
  auto [peer, head] = Submit();
  EXPECT_EQ(head.Status(), 502);
}

}  // namespace
}  // namespace hornbeamcleat
