#include "src/relay/exchange.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: sig\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

class ExchangeTest : public RelayFixture {
 protected:
  int Status(const TestCaller& caller) {
    const std::unique_ptr<HttpParser> answer = caller.Response();
    return answer == nullptr ? 0 : answer->Head().status;
  }

  std::string Header(const TestCaller& caller, std::string_view name) {
    const std::unique_ptr<HttpParser> answer = caller.Response();
    const std::string* value =
        answer == nullptr ? nullptr : FindHeader(answer->Head().headers, name);
    return value == nullptr ? "" : *value;
  }

  static void Reply(const ReceivedRequest& request, const std::string& bytes) {
    request.stream->Write(bytes);
  }
};

TEST_F(ExchangeTest, RequestReachesTargetUnchangedAndAnswerComesBack) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, SignedResponse(request.Header("Request-Id"), "answer"));
  });
  SetTargets({&target});
  const std::unique_ptr<TestCaller> caller = SendRequest(
      Request("unsafe", "r1", "X-Custom: c\r\nTenant-Id: forged\r\n"));
  EXPECT_EQ(Status(*caller), 200);
  EXPECT_EQ(*caller->Response()->Body(), "answer");
  EXPECT_EQ(Header(*caller, "Upstream-Signature"), "sig");
  ASSERT_EQ(target.RequestCount(), 1);
  const ReceivedRequest& seen = target.ReceivedRequests()[0];
  EXPECT_EQ(seen.head.method, "POST");
  EXPECT_EQ(seen.head.target, "/unsafe/x?q=1");
  EXPECT_EQ(seen.body, "body");
  EXPECT_EQ(seen.Header("X-Custom"), "c");
  EXPECT_EQ(seen.Header("Tenant-Id"), "w");
  EXPECT_EQ(seen.Header("Expected-Instance"), "t0");
  EXPECT_EQ(seen.Header("Api-Key"), "");
  EXPECT_LE(std::stoi(seen.Header("Deadline-Ms")), 2'000);
}

TEST_F(ExchangeTest, UnknownKeyAndRouteAreRefusedWithoutASend) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest&) {});
  SetTargets({&target});
  std::string request = Request("unsafe");
  request.replace(request.find("key\r\n"), 3, "bad");
  EXPECT_EQ(Status(*SendRequest(request)), 401);
  EXPECT_EQ(Status(*SendRequest(Request("none"))), 404);
  EXPECT_EQ(target.RequestCount(), 0);
}

TEST_F(ExchangeTest, BrokenAnswerToUnsafeRequestIsNotSentAgain) {
  const auto reset = [](const ReceivedRequest& request) {
    request.stream->Abort();
  };
  ScriptedTarget a(loop_.get(), reset);
  ScriptedTarget b(loop_.get(), reset);
  SetTargets({&a, &b});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("unsafe"));
  EXPECT_EQ(Status(*caller), 502);
  EXPECT_EQ(Header(*caller, "Upstream-Signature"), "");
  EXPECT_EQ(a.RequestCount() + b.RequestCount(), 1);
}

TEST_F(ExchangeTest, BrokenAnswerToSafeRequestIsSentToAnotherTarget) {
  int n = 0;
  const auto second_answers = [&n](const ReceivedRequest& request) {
    if (n++ == 0) {
      request.stream->Abort();
    } else {
      Reply(request, SignedResponse("r1", "ok"));
    }
  };
  ScriptedTarget a(loop_.get(), second_answers);
  ScriptedTarget b(loop_.get(), second_answers);
  SetTargets({&a, &b});
  EXPECT_EQ(Status(*SendRequest(Request("safe"))), 200);
  EXPECT_EQ(a.RequestCount(), 1);
  EXPECT_EQ(b.RequestCount(), 1);
}

TEST_F(ExchangeTest, SafeRequestRunsAtMostAsOftenAsItsRouteAllows) {
  const auto fail = [](const ReceivedRequest& request) {
    Reply(request, SignedResponse("r1", "no", 500));
  };
  ScriptedTarget a(loop_.get(), fail);
  ScriptedTarget b(loop_.get(), fail);
  ScriptedTarget c(loop_.get(), fail);
  SetTargets({&a, &b, &c});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("safe"));
  EXPECT_EQ(Status(*caller), 500);
  EXPECT_EQ(Header(*caller, "Upstream-Signature"), "sig");
  EXPECT_EQ(a.RequestCount() + b.RequestCount() + c.RequestCount(), 2);
}

TEST_F(ExchangeTest, UnsafeRequestThatWasNotRunIsSentToAnotherTarget) {
  int n = 0;
  const auto second_answers = [&n](const ReceivedRequest& request) {
    if (n++ == 0) {
      Reply(request,
            "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
    } else {
      Reply(request, SignedResponse("r1", "ok"));
    }
  };
  ScriptedTarget a(loop_.get(), second_answers);
  ScriptedTarget b(loop_.get(), second_answers);
  SetTargets({&a, &b});
  EXPECT_EQ(Status(*SendRequest(Request("unsafe"))), 200);
  EXPECT_EQ(n, 2);
}

// A 503 guarantees to the caller that its request was not executed, so the 503
// of a target without the Not-Executed header must not be forwarded.
TEST_F(ExchangeTest, BusyStatusWithoutTargetsWordIsNoPromise) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  });
  SetTargets({&target});
  EXPECT_EQ(Status(*SendRequest(Request("unsafe"))), 502);
}

TEST_F(ExchangeTest, UnsignedSuccessIsNotPassedOn) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  });
  SetTargets({&target});
  EXPECT_EQ(Status(*SendRequest(Request("unsafe"))), 502);
}

TEST_F(ExchangeTest, AnswerToAnotherRequestIsDropped) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request,
          SignedResponse("other", "wrong") + SignedResponse("r1", "right"));
  });
  SetTargets({&target});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("unsafe"));
  EXPECT_EQ(Status(*caller), 200);
  EXPECT_EQ(*caller->Response()->Body(), "right");
}

TEST_F(ExchangeTest, BytesBehindAnAnswerNeverReachTheNextCaller) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, SignedResponse(request.Header("Request-Id"), "mine") +
                       SignedResponse("", "stray"));
  });
  SetTargets({&target});
  for (const char* id : {"r1", "r2", "r3"}) {
    const std::unique_ptr<TestCaller> caller = SendRequest(Request("safe", id));
    ASSERT_EQ(Status(*caller), 200);
    EXPECT_EQ(*caller->Response()->Body(), "mine");
  }
}

TEST_F(ExchangeTest, TruncatedAnswerIsNotPassedOnAsWhole) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request,
          "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
          "Upstream-Signature: s\r\nContent-Length: 9\r\n\r\nabc");
    request.stream->FinishWriting();
  });
  SetTargets({&target});
  EXPECT_EQ(Status(*SendRequest(Request("unsafe"))), 502);
}

TEST_F(ExchangeTest, UnframedAnswerIsWholeAfterCleanClose) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request,
          "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
          "Upstream-Signature: s\r\n\r\nabc");
    request.stream->FinishWriting();
  });
  SetTargets({&target});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("unsafe"));
  EXPECT_EQ(Status(*caller), 200);
  EXPECT_EQ(*caller->Response()->Body(), "abc");
}

TEST_F(ExchangeTest, EndsOfTargetResponsesAreCountedByFramingOrFault) {
  std::string response;
  bool resets = false;
  ScriptedTarget target(loop_.get(), [&](const ReceivedRequest& request) {
    Reply(request, response);
    if (resets) {
      request.stream->Abort();
    } else {
      request.stream->FinishWriting();
    }
  });
  SetTargets({&target});
  const auto count = [this](const std::string& end) {
    return metrics_->Expose().find("target_responses_total{end=\"" + end +
                                   "\"} 1") != std::string::npos;
  };
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\n";
  response = head + "Content-Length: 2\r\n\r\nhi";
  SendRequest(Request("unsafe"));
  EXPECT_TRUE(count("length"));
  response = head + "\r\nhi";
  SendRequest(Request("unsafe"));
  EXPECT_TRUE(count("until_close"));
  response = std::string(kStreamHead) + "0\r\n\r\n";
  SendRequest(Request("stream"));
  EXPECT_TRUE(count("chunked"));
  response = head + "\r\nid: 1\nda";
  SendRequest(Request("stream"));
  EXPECT_TRUE(count("partial_event"));
  response = head + "Content-Length: 9\r\n\r\nhi";
  SendRequest(Request("unsafe"));
  EXPECT_TRUE(count("truncated"));
  resets = true;
  SendRequest(Request("unsafe"));
  EXPECT_TRUE(count("reset"));
}

TEST_F(ExchangeTest, EventsArriveAsTheyAreMade) {
  ByteStream* stream = nullptr;
  ScriptedTarget target(loop_.get(), [&stream](const ReceivedRequest& request) {
    stream = request.stream;
    Reply(request, kStreamHead + Chunk("id: 1\ndata: a\n\n"));
  });
  SetTargets({&target});
  TestCaller caller(loop_.get(), relay_->CallerAddress());
  caller.Send(Request("stream"));
  ASSERT_TRUE(RunUntil([&caller] {
    return caller.Received().find("data: a") != std::string::npos;
  }));
  stream->Write(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&caller] { return caller.Response() != nullptr; }));
  EXPECT_EQ(*caller.Response()->Body(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(ExchangeTest, BrokenStreamThatMustNotRepeatEndsIncomplete) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\nda"));
    request.stream->FinishWriting();
  });
  SetTargets({&target});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("stream"));
  EXPECT_TRUE(caller->Ended());
  EXPECT_EQ(caller->Response(), nullptr);
  EXPECT_EQ(target.RequestCount(), 1);
}

TEST_F(ExchangeTest, BrokenResumableStreamGoesOnAtAnotherTarget) {
  std::string resumed_after;
  int n = 0;
  const auto script = [&](const ReceivedRequest& request) {
    if (n++ == 0) {
      Reply(request, kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\nda"));
      request.stream->FinishWriting();
      return;
    }
    resumed_after = request.Header("Last-Event-Id");
    Reply(request, kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  };
  ScriptedTarget a(loop_.get(), script);
  ScriptedTarget b(loop_.get(), script);
  SetTargets({&a, &b});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("resume"));
  ASSERT_NE(caller->Response(), nullptr);
  EXPECT_EQ(*caller->Response()->Body(),
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(resumed_after, "1");
}

// Guards against a refusal being written into a response body that has already
// started, when a resumed stream finds no target.
TEST_F(ExchangeTest, ResumeThatIsRefusedEndsIncomplete) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, kStreamHead + Chunk("id: 1\ndata: a\n\n"));
    request.stream->FinishWriting();
  });
  SetTargets({&target});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("resume"));
  EXPECT_TRUE(caller->Ended());
  EXPECT_EQ(caller->Received().find("HTTP/1.1 50"), std::string::npos);
  EXPECT_EQ(caller->Response(), nullptr);
}

TEST_F(ExchangeTest, CallerThatLeavesEndsWorkAtTarget) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest&) {});
  SetTargets({&target});
  TestCaller caller(loop_.get(), relay_->CallerAddress());
  caller.Send(Request("unsafe"));
  ASSERT_TRUE(RunUntil([&target] { return target.RequestCount() == 1; }));
  caller.Close();
  EXPECT_TRUE(RunUntil([&target] { return target.ClosedCount() == 1; }));
}

TEST_F(ExchangeTest, CallerThatLeavesBehindUnreadBytesEndsWorkAtTarget) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest&) {});
  SetTargets({&target});
  TestCaller caller(loop_.get(), relay_->CallerAddress());
  caller.Send(Request("unsafe") + std::string(100'000, 'x'));
  ASSERT_TRUE(RunUntil([&target] { return target.RequestCount() == 1; }));
  for (int i = 0; i < 20; ++i) {
    loop_->RunOnce(std::chrono::milliseconds(1));
  }
  caller.Close();
  EXPECT_TRUE(RunUntil([&target] { return target.ClosedCount() == 1; }));
}

// Guards against a decision for a request whose caller has just left: it was
// sent to a target, or refused through a connection that was freed.
TEST_F(ExchangeTest, RequestOfCallerThatLeftIsNotDecidedInSameTurn) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest&) {});
  SetTargets({&target});
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < kTargetSlots; ++i) {
    callers.push_back(
        std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress()));
    callers.back()->Send(Request("unsafe", fmt::format("r{}", i)));
  }
  ASSERT_TRUE(
      RunUntil([&target] { return target.RequestCount() == kTargetSlots; }));
  TestCaller gone(loop_.get(), relay_->CallerAddress());
  gone.Send(Request("unsafe", "gone"));
  for (int i = 0; i < 10; ++i) {
    loop_->RunOnce(std::chrono::milliseconds(2));
  }
  // One turn of the loop closes the caller's connection, frees a slot and
  // decides on the requests that wait.
  gone.Close();
  const ReceivedRequest& first = target.ReceivedRequests()[0];
  Reply(first, SignedResponse(first.Header("Request-Id"), "ok"));
  for (int i = 0; i < 20; ++i) {
    loop_->RunOnce(std::chrono::milliseconds(2));
  }
  EXPECT_EQ(target.RequestCount(), kTargetSlots);
  const std::string decided =
      fmt::format("wait_seconds_count{{service=\"s\"}} {}\n", kTargetSlots);
  EXPECT_NE(metrics_->Expose().find(decided), std::string::npos);
}

TEST_F(ExchangeTest, SilentTargetIsAnsweredForAtTheTimeOut) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest&) {});
  SetTargets({&target});
  std::string request = Request("unsafe");
  request.replace(request.find("2000"), 4, "0200");
  EXPECT_EQ(Status(*SendRequest(request)), 504);
}

TEST_F(ExchangeTest, NoTargetAtAllPromisesNotRunAndWhenToComeBack) {
  std::string request = Request("unsafe");
  request.replace(request.find("2000"), 4, "0200");
  const std::unique_ptr<TestCaller> caller = SendRequest(request);
  EXPECT_EQ(Status(*caller), 503);
  EXPECT_NE(Header(*caller, "Retry-After"), "");
}

TEST_F(ExchangeTest, UnreachableTargetIsLeftForAnother) {
  ScriptedTarget good(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, SignedResponse("r1", "ok"));
  });
  std::unique_ptr<ScriptedTarget> gone = std::make_unique<ScriptedTarget>(
      loop_.get(), [](const ReceivedRequest&) {});
  SetTargets({gone.get(), &good});
  gone.reset();
  EXPECT_EQ(Status(*SendRequest(Request("unsafe"))), 200);
}

TEST_F(ExchangeTest, TwoRequestsOnOneConnectionAreAnsweredInOrder) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, SignedResponse(request.Header("Request-Id"),
                                  request.Header("Request-Id")));
  });
  SetTargets({&target});
  TestCaller caller(loop_.get(), relay_->CallerAddress());
  caller.Send(Request("unsafe", "r1") + Request("unsafe", "r2"));
  ASSERT_TRUE(RunUntil([&caller] {
    return caller.Received().find("\r\n\r\nr2") != std::string::npos;
  }));
  EXPECT_LT(caller.Received().find("\r\n\r\nr1"),
            caller.Received().find("\r\n\r\nr2"));
}

TEST_F(ExchangeTest, PlannedStopFinishesRequestAndAnnouncesClose) {
  ByteStream* stream = nullptr;
  ScriptedTarget target(loop_.get(), [&stream](const ReceivedRequest& request) {
    stream = request.stream;
  });
  SetTargets({&target});
  TestCaller caller(loop_.get(), relay_->CallerAddress());
  caller.Send(Request("unsafe"));
  ASSERT_TRUE(RunUntil([&stream] { return stream != nullptr; }));
  relay_->Drain();
  EXPECT_FALSE(relay_->IsDrained());
  stream->Write(SignedResponse("r1", "late"));
  ASSERT_TRUE(RunUntil([&caller] { return caller.Response() != nullptr; }));
  EXPECT_EQ(Header(caller, "Connection"), "close");
  EXPECT_EQ(*caller.Response()->Body(), "late");
}

// All VMs may have started in the same instant.
TEST_F(ExchangeTest, VmThatDoesNotKnowTheOthersSavesFewRetries) {
  const auto refuse = [](const ReceivedRequest& request) {
    request.stream->Write(
        "HTTP/1.1 503 X\r\nRequest-Id: " + request.Header("Request-Id") +
        "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  };
  ScriptedTarget target(loop_.get(), refuse);
  ScriptedTarget other(loop_.get(), refuse);
  relay_.reset();
  relay_ = MakeRelay(Options(), false);
  Configure(Config());
  SetTargets({&target, &other});
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    SendRequest(Request("unsafe", "r" + std::to_string(i)));
  }
  // One, and what the requests themselves add.
  EXPECT_LE(target.RequestCount() + other.RequestCount(), kRequests + 3);
}

// Guards against waiting requests that are denied when their key is given to
// another workspace.
TEST_F(ExchangeTest, KeyGivenToOtherWorkspaceWhileWaitingIsSentForThatOne) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    Reply(request, SignedResponse("r1", "ok"));
  });
  TestCaller caller(loop_.get(), relay_->CallerAddress());
  caller.Send(Request("unsafe"));
  for (int i = 0; i < 10; ++i) {
    loop_->RunOnce(std::chrono::milliseconds(2));
  }
  ServingConfig config = Config(2);
  config.workspaces.push_back(config.workspaces[0]);
  config.workspaces[0].keys.clear();
  config.workspaces[1].name = "other";
  Configure(config);
  SetTargets({&target});
  ASSERT_TRUE(RunUntil([&caller] { return caller.Response() != nullptr; }));
  EXPECT_EQ(Status(caller), 200);
  ASSERT_EQ(target.RequestCount(), 1);
  EXPECT_EQ(target.ReceivedRequests()[0].Header("Tenant-Id"), "other");
}

TEST_F(ExchangeTest, KeyTakenAwayWhileWaitingIsNotSent) {
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest&) {});
  TestCaller caller(loop_.get(), relay_->CallerAddress());
  caller.Send(Request("unsafe"));
  for (int i = 0; i < 10; ++i) {
    loop_->RunOnce(std::chrono::milliseconds(2));
  }
  ServingConfig config = Config(2);
  config.workspaces[0].keys.clear();
  Configure(config);
  SetTargets({&target});
  ASSERT_TRUE(RunUntil([&caller] { return caller.Response() != nullptr; }));
  EXPECT_EQ(Status(caller), 401);
  EXPECT_EQ(target.RequestCount(), 0);
}

}  // namespace
}  // namespace hornbeamcleat
