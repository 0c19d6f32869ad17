#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/timer_service.h"
#include "src/relay/peer_link.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr char kLeaving[] = "Server-Leaving: 1\r\n";
constexpr char kNotExecuted[] = "Not-Executed: 1\r\n";
/// A target may get this many requests between half a second after it has asked
/// for rest and the end of that time.
constexpr int kMaxSendsInRest = 2;
constexpr Duration kRestBegins = milliseconds(500);

/// Targets that state in their answers that they leave or want to rest.
class TargetStatementsTest : public RelayFixture {
 protected:
  static std::string Response(const ReceivedRequest& request, int status,
                              const std::string& headers,
                              const std::string& body = "") {
    return fmt::format(
        "HTTP/1.1 {} X\r\nRequest-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}",
        status, request.Header("Request-Id"), headers, body.size(), body);
  }

  static std::string Answer(const ReceivedRequest& request,
                            const std::string& headers = "") {
    return Response(request, 200, "Upstream-Signature: s\r\n" + headers,
                    "id: 1\ndata: a\n\n");
  }

  static ScriptedTarget::Script Answering() {
    return [](const ReceivedRequest& request) {
      request.stream->Write(Answer(request));
    };
  }

  /// Answers after the time that a request takes.
  ScriptedTarget::Script Working(Duration work) {
    return [this, work](const ReceivedRequest& request) {
      timers_.push_back(loop_->Timers()->At(
          clock_->Now() + work,
          [request](Time) { request.stream->Write(Answer(request)); }));
    };
  }

  /// Refuses all requests and asks for rest.
  static ScriptedTarget::Script Refusing(const std::string& retry_after) {
    return [retry_after](const ReceivedRequest& request) {
      request.stream->Write(Response(
          request, 503,
          kNotExecuted + fmt::format("Retry-After: {}\r\n", retry_after)));
    };
  }

  std::string NextId() { return fmt::format("n{}", next_id_++); }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    RunUntil([&] { return clock_->Now() >= end; });
  }

  /// Sends requests one after the other until `done`.
  void SendUntil(const std::string& kind, const std::function<bool()>& done) {
    for (int i = 0; i < 50 && !done(); ++i) {
      SendRequest(Request(kind, NextId()));
    }
    ASSERT_TRUE(done());
  }

  std::unique_ptr<TestCaller> StartRequest(const std::string& kind) {
    std::unique_ptr<TestCaller> caller =
        std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress());
    caller->Send(Request(kind, NextId()));
    return caller;
  }

  static int Status(const TestCaller& caller) {
    const std::unique_ptr<HttpParser> answer = caller.Response();
    return answer == nullptr ? 0 : answer->Head().status;
  }

  static double RetryAfter(const TestCaller& caller) {
    const std::unique_ptr<HttpParser> answer = caller.Response();
    const std::string* value =
        answer == nullptr ? nullptr
                          : FindHeader(answer->Head().headers, "Retry-After");
    return value == nullptr ? 0 : std::stod(*value);
  }

  std::vector<std::unique_ptr<TimerService::Subscription>> timers_;
  int next_id_ = 0;
};

TEST_F(TargetStatementsTest, TargetThatSaysItLeavesGetsNoFurtherRequests) {
  struct Form {
    const char* name;
    int status;
    std::string headers;
  };
  const std::vector<Form> forms = {
      {"whole answer", 200, "Upstream-Signature: s\r\n"},
      {"error", 500, "Upstream-Signature: s\r\n"},
      {"refusal", 503, kNotExecuted},
      {"misdirected", 421, ""}};
  for (const Form& form : forms) {
    for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
      ScriptedTarget leaving(loop_.get(), [&](const ReceivedRequest& request) {
        request.stream->Write(Response(request, form.status,
                                       form.headers + kLeaving,
                                       "id: 1\ndata: a\n\n"));
      });
      ScriptedTarget sound(loop_.get(), Answering());
      relay_->SetTargets({Spec(NextId(), leaving), Spec(NextId(), sound)});
      SendUntil(kind, [&] { return leaving.RequestCount() > 0; });
      const int before = leaving.RequestCount();
      for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(Status(*SendRequest(Request(kind, NextId()))), 200);
      }
      EXPECT_EQ(leaving.RequestCount() - before, 0) << form.name << " " << kind;
    }
  }
}

TEST_F(TargetStatementsTest, TargetThatAsksForRestGetsAtMostTwoRequests) {
  for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
    ScriptedTarget resting(loop_.get(), Refusing("2"));
    ScriptedTarget sound(loop_.get(), Working(milliseconds(40)));
    relay_->SetTargets({Spec(NextId(), resting), Spec(NextId(), sound)});
    relay_->OnConfigConfirmed(clock_->SuspendAwareNow());
    SendUntil(kind, [&] { return resting.RequestCount() > 0; });
    const Time asked = clock_->Now();
    RunFor(kRestBegins);
    const int before = resting.RequestCount();
    std::vector<std::unique_ptr<TestCaller>> callers;
    while (clock_->Now() - asked < milliseconds(1'900)) {
      for (int i = 0; i < 3; ++i) {
        callers.push_back(StartRequest(kind));
      }
      RunFor(milliseconds(50));
    }
    EXPECT_LE(resting.RequestCount() - before, kMaxSendsInRest) << kind;
    for (const std::unique_ptr<TestCaller>& caller : callers) {
      EXPECT_EQ(Status(*caller), 200) << kind;
    }
    timers_.clear();
  }
}

TEST_F(TargetStatementsTest, HeadOfOpenStreamCountsAndTheStreamEndsWhole) {
  ScriptedTarget leaving(loop_.get(), [&](const ReceivedRequest& request) {
    request.stream->Write(
        fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                    "Upstream-Signature: s\r\n{}"
                    "Transfer-Encoding: chunked\r\n\r\n"
                    "f\r\nid: 1\ndata: a\n\n\r\n",
                    request.Header("Request-Id"), kLeaving));
  });
  ScriptedTarget sound(loop_.get(), Answering());
  relay_->SetTargets({Spec("leaving", leaving)});
  const std::unique_ptr<TestCaller> caller = StartRequest("stream");
  ASSERT_TRUE(RunUntil([&] { return !caller->Received().empty(); }));
  relay_->SetTargets({Spec("leaving", leaving), Spec("sound", sound)});
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Status(*SendRequest(Request("stream", NextId()))), 200);
  }
  EXPECT_EQ(leaving.RequestCount(), 1);
  leaving.ReceivedRequests().front().stream->Write(
      "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return caller->Response() != nullptr; }));
  EXPECT_EQ(*caller->Response()->Body(),
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// On a kept connection, before the answer to the request itself.
TEST_F(TargetStatementsTest, AnswerToOtherRequestCounts) {
  ScriptedTarget leaving(loop_.get(), [&](const ReceivedRequest& request) {
    request.stream->Write(
        fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                    "Upstream-Signature: s\r\n{}Content-Length: 4\r\n\r\nlate",
                    kLeaving) +
        Answer(request));
  });
  ScriptedTarget sound(loop_.get(), Answering());
  relay_->SetTargets({Spec("leaving", leaving)});
  EXPECT_EQ(Status(*SendRequest(Request("safe", NextId()))), 200);
  relay_->SetTargets({Spec("leaving", leaving), Spec("sound", sound)});
  SendRequest(Request("safe", NextId()));
  EXPECT_EQ(leaving.RequestCount(), 1);
}

TEST_F(TargetStatementsTest, BytesOnIdleConnectionCount) {
  ScriptedTarget leaving(loop_.get(), Answering());
  relay_->SetTargets({Spec("leaving", leaving)});
  EXPECT_EQ(Status(*SendRequest(Request("safe", NextId()))), 200);
  const ReceivedRequest& request = leaving.ReceivedRequests().front();
  request.stream->Write(
      Response(request, 503, std::string(kNotExecuted) + kLeaving));
  RunFor(milliseconds(50));
  EXPECT_EQ(Status(*SendRequest(Request("safe", NextId()))), 503);
  EXPECT_EQ(leaving.RequestCount(), 1);
}

TEST_F(TargetStatementsTest, OnlyNewStartBringsLeavingTargetBack) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    request.stream->Write(Answer(request, kLeaving));
  });
  ServingTarget spec = Spec("t", target);
  spec.start_time_ms = 2;
  relay_->SetTargets({spec});
  EXPECT_EQ(Status(*SendRequest(Request("safe", NextId()))), 200);
  // A heartbeat, a lapsed entry that returns, and a record of an earlier start.
  const auto expect_closed = [&] {
    relay_->SetTargets({spec});
    EXPECT_EQ(Status(*SendRequest(Request("safe", NextId()))), 503);
    EXPECT_EQ(target.RequestCount(), 1);
  };
  expect_closed();
  relay_->SetTargets({});
  expect_closed();
  spec.start_time_ms = 1;
  expect_closed();
  spec.start_time_ms = 3;
  relay_->SetTargets({spec});
  EXPECT_EQ(Status(*SendRequest(Request("safe", NextId()))), 200);
  EXPECT_EQ(target.RequestCount(), 2);
}

TEST_F(TargetStatementsTest, WaitingRequestsDoNotFollowToLeavingTarget) {
  ScriptedTarget leaving(loop_.get(), [](const ReceivedRequest&) {});
  relay_->SetTargets({Spec("leaving", leaving)});
  std::vector<std::unique_ptr<TestCaller>> running;
  running.reserve(kTargetSlots);
  for (int i = 0; i < kTargetSlots; ++i) {
    running.push_back(StartRequest("unsafe"));
  }
  ASSERT_TRUE(RunUntil([&] { return leaving.RequestCount() == kTargetSlots; }));
  const std::unique_ptr<TestCaller> waiting = StartRequest("unsafe");
  RunFor(milliseconds(50));
  for (const ReceivedRequest& request : leaving.ReceivedRequests()) {
    request.stream->Write(Answer(request, kLeaving));
  }
  ASSERT_TRUE(RunUntil([&] { return waiting->Response() != nullptr; }));
  EXPECT_EQ(Status(*waiting), 503);
  EXPECT_GT(RetryAfter(*waiting), 0);
  EXPECT_EQ(leaving.RequestCount(), kTargetSlots);
  for (const std::unique_ptr<TestCaller>& caller : running) {
    EXPECT_EQ(Status(*caller), 200);
  }
}

TEST_F(TargetStatementsTest, OtherVmsLearnOfLeavingAndRest) {
  ScriptedTarget leaving(loop_.get(), [](const ReceivedRequest& request) {
    request.stream->Write(Answer(request, kLeaving));
  });
  ScriptedTarget resting(loop_.get(), Refusing("3"));
  ScriptedTarget sound(loop_.get(), Answering());
  RelayOptions options = Options();
  options.peer_address = FreeUdpAddress();
  relay_ = MakeRelay(options);
  Configure(Config());
  const std::unique_ptr<Relay> first = std::move(relay_);
  options.peer_address = FreeUdpAddress();
  relay_ = MakeRelay(options);
  Configure(Config());
  for (Relay* relay : {first.get(), relay_.get()}) {
    relay->SetMembers({first->SelfRecord(), relay_->SelfRecord()});
  }
  relay_->SetTargets({Spec("leaving", leaving)});
  SendRequest(Request("safe", NextId()));
  relay_->SetTargets({Spec("resting", resting)});
  SendRequest(Request("safe", NextId()));
  ASSERT_EQ(leaving.RequestCount(), 1);
  ASSERT_EQ(resting.RequestCount(), 1);
  RunFor(milliseconds(100));
  first->SetTargets({Spec("leaving", leaving), Spec("resting", resting),
                     Spec("sound", sound)});
  for (int i = 0; i < 10; ++i) {
    TestCaller caller(loop_.get(), first->CallerAddress());
    caller.Send(Request("safe", NextId()));
    ASSERT_TRUE(RunUntil([&] { return caller.Response() != nullptr; }));
    EXPECT_EQ(Status(caller), 200);
  }
  EXPECT_EQ(leaving.RequestCount(), 1);
  EXPECT_EQ(resting.RequestCount(), 1);
}

TEST_F(TargetStatementsTest, StartedVmIsToldWhatOthersKnow) {
  RelayOptions options = Options();
  options.peer_address = FreeUdpAddress();
  relay_ = MakeRelay(options);
  Configure(Config());
  ScriptedTarget leaving(loop_.get(), [](const ReceivedRequest& request) {
    request.stream->Write(Answer(request, kLeaving));
  });
  relay_->SetTargets({Spec("leaving", leaving)});
  EXPECT_EQ(Status(*SendRequest(Request("safe", NextId()))), 200);
  // VMs report to peers that start after them, and repeat news before.
  RunFor(milliseconds(6'500));
  const Address address = FreeUdpAddress();
  std::vector<TargetNotice> notices;
  const std::unique_ptr<PeerLink> peer = PeerLink::Open(
      loop_.get(), clock_.get(), address, [&notices](const PeerState& state) {
        notices.insert(notices.end(), state.notices.begin(),
                       state.notices.end());
      });
  relay_->SetMembers({{address.ToString(), "127.0.0.1:1", "d"}});
  PeerState first;
  first.incarnation = 1;
  first.sequence = 1;
  first.link = address.ToString();
  peer->Send(first, {relay_->SelfRecord().link});
  ASSERT_TRUE(RunUntil([&notices] { return !notices.empty(); }));
  EXPECT_EQ(
      notices[0],
      (TargetNotice{TargetInstance::Of(Spec("leaving", leaving)), true, 0}));
}

TEST_F(TargetStatementsTest, CallersAreToldWhenFirstOfRestingTargetsEnds) {
  for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
    ScriptedTarget shorter(loop_.get(), Refusing("20"));
    ScriptedTarget longer(loop_.get(), Refusing("40"));
    relay_->SetTargets({Spec(NextId(), shorter), Spec(NextId(), longer)});
    EXPECT_EQ(Status(*SendRequest(Request(kind, NextId()))), 503);
    SendRequest(Request(kind, NextId()));
    ASSERT_EQ(shorter.RequestCount() + longer.RequestCount(), 2) << kind;
    const Time before = clock_->Now();
    double least = 100;
    double most = 0;
    for (int i = 0; i < 10; ++i) {
      const std::unique_ptr<TestCaller> caller =
          SendRequest(Request(kind, NextId()));
      EXPECT_EQ(Status(*caller), 503);
      least = std::min(least, RetryAfter(*caller));
      most = std::max(most, RetryAfter(*caller));
    }
    EXPECT_LT(clock_->Now() - before, milliseconds(500)) << kind;
    EXPECT_GT(least, 19) << kind;
    EXPECT_LT(most, 24) << kind;
    EXPECT_GT(most - least, 0.2) << kind;
    EXPECT_EQ(shorter.RequestCount() + longer.RequestCount(), 2) << kind;
  }
}

TEST_F(TargetStatementsTest, RequestWaitsForShortRestAndIsServed) {
  int n = 0;
  ScriptedTarget target(loop_.get(), [&n](const ReceivedRequest& request) {
    request.stream->Write(
        n++ == 0 ? Response(request, 503,
                            std::string(kNotExecuted) + "Retry-After: 0.3\r\n")
                 : Answer(request));
  });
  relay_->SetTargets({Spec("t", target)});
  const Time start = clock_->Now();
  EXPECT_EQ(Status(*SendRequest(Request("unsafe", NextId()))), 200);
  EXPECT_GE(clock_->Now() - start, milliseconds(300));
}

TEST_F(TargetStatementsTest, TimeThatIsNoRestIsAnOrdinaryRefusal) {
  for (const char* retry_after :
       {"0", "-5", "Wed, 21 Oct 2026 07:28:00 GMT", "soon", "nan"}) {
    int n = 0;
    ScriptedTarget a(loop_.get(), [&](const ReceivedRequest& request) {
      request.stream->Write(
          n++ == 0 ? Response(request, 503,
                              kNotExecuted + fmt::format("Retry-After: {}\r\n",
                                                         retry_after))
                   : Answer(request));
    });
    relay_->SetTargets({Spec(NextId(), a)});
    relay_->OnConfigConfirmed(clock_->SuspendAwareNow());
    SendRequest(Request("safe", NextId()));
    RunFor(milliseconds(100));
    EXPECT_EQ(Status(*SendRequest(Request("safe", NextId()))), 200)
        << retry_after;
  }
}

}  // namespace
}  // namespace hornbeamcleat
