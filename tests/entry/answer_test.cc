#include <gtest/gtest.h>

#include <future>

#include "tests/entry/entry_fixture.h"

namespace hornbeamcleat {
namespace {

class AnswerTest : public EntryFixture {};

TEST_F(AnswerTest, SubmitStreamedAnswerIsForwardedComplete) {
  FakeTarget* target = AddTarget([](const TargetCall&, SocketPeer& peer) {
    peer.Send(std::string(kStreamHead) + Parts(1, 3) + std::string(kStreamEnd));
  });
  StartEntry();
  auto [peer, head] = Submit("chat", "Request-Id: r1\r\ntraceparent: tp\r\n",
                             "{\"prompt\": \"hello\"}");
  EXPECT_EQ(head.Status(), 200);
  EXPECT_EQ(head.Get("request-id"), "r1");
  EXPECT_EQ(head.Get("target-version"), "v1");
  EXPECT_EQ(ReadChunks(&peer), WholeAnswer(3));
  const TargetCall call = target->Last();
  EXPECT_EQ(call.body, "{\"prompt\": \"hello\"}");
  EXPECT_EQ(call.head.Get("request-id"), "r1");
  EXPECT_EQ(call.head.Get("traceparent"), "tp");
  EXPECT_TRUE(
      WaitForMetric("hornbeamcleat_outcomes_total{outcome=\"whole\"} 1"));
}

TEST_F(AnswerTest, SubmitFirstPartReachesCallerWhileTargetStillDecodes) {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  AddTarget([released](const TargetCall&, SocketPeer& peer) {
    peer.Send(std::string(kStreamHead) + Parts(1, 1));
    released.wait_for(kTestPatience);
    peer.Send(Parts(2, 2) + std::string(kStreamEnd));
  });
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_EQ(ReadChunk(&peer), Parts(1, 1));
  release.set_value();
  EXPECT_EQ(Parts(1, 1) + ReadChunks(&peer), WholeAnswer(2));
}

TEST_F(AnswerTest, SubmitPlainAnswerKeepsStatusAndType) {
  AddTarget([](const TargetCall&, SocketPeer& peer) {
    peer.Send(PlainAnswer("404 Not Found", "Content-Type: text/x\r\n", "none"));
  });
  StartEntry();
  auto [peer, head] = Submit();
  EXPECT_EQ(head.Status(), 404);
  EXPECT_EQ(head.Get("content-type"), "text/x");
  EXPECT_EQ(ReadBody(&peer, head), "none");
}

}  // namespace
}  // namespace hornbeamcleat
