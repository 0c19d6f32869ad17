#include <gtest/gtest.h>

#include <string>

#include "src/relay/exchange.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr char kEvents[] = "id: 1\ndata: a\n\n";
constexpr char kCutEvents[] = "id: 1\ndata: a\n\nid: 2\nda";

/// Responses of targets that end regularly or are broken off, in each framing.
class ResponseEndTest : public RelayFixture {
 protected:
  static std::string SignedHead(const std::string& framing_headers) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\n"
           "Content-Type: text/event-stream\r\n" +
           framing_headers + "\r\n";
  }

  /// A target's response, which ends with its connection.
  static std::string Unframed(const std::string& body) {
    return SignedHead("") + body;
  }

  static std::string WithLength(const std::string& body) {
    return SignedHead("Content-Length: " + std::to_string(body.size()) +
                      "\r\n") +
           body;
  }

  /// One chunk and the last chunk.
  static std::string Chunked(const std::string& body) {
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    return SignedHead("Transfer-Encoding: chunked\r\n") + size + body +
           "\r\n0\r\n\r\n";
  }

  /// Sends a request that a target answers with `response` and a close.
  std::unique_ptr<TestCaller> SendAnsweredBy(const std::string& kind,
                                             const std::string& response) {
    ScriptedTarget target(loop_.get(), [&](const ReceivedRequest& request) {
      request.stream->Write(response);
      request.stream->FinishWriting();
    });
    SetTargets({&target});
    return SendRequest(Request(kind));
  }

  static void ExpectBrokenOff(const TestCaller& caller) {
    EXPECT_TRUE(caller.Ended());
    EXPECT_EQ(caller.Response(), nullptr) << caller.Received();
  }
};

TEST_F(ResponseEndTest, UnframedStreamCutInsideEventIsNotCompleteForCaller) {
  ExpectBrokenOff(*SendAnsweredBy("stream", Unframed(kCutEvents)));
}

TEST_F(ResponseEndTest, StreamFramedAsCompleteInsideEventIsBrokenOff) {
  ExpectBrokenOff(*SendAnsweredBy("stream", WithLength(kCutEvents)));
  ExpectBrokenOff(*SendAnsweredBy("stream", Chunked(kCutEvents)));
}

TEST_F(ResponseEndTest, FramedStreamCutShortIsBrokenOff) {
  const std::string with_length = WithLength(kEvents);
  ExpectBrokenOff(
      *SendAnsweredBy("stream", with_length.substr(0, with_length.size() - 1)));
  const std::string chunked = Chunked(kEvents);
  ExpectBrokenOff(
      *SendAnsweredBy("stream", chunked.substr(0, chunked.size() - 5)));
}

TEST_F(ResponseEndTest, CutStreamToHttp10CallerIsReset) {
  for (const std::string& response :
       {Unframed(kCutEvents), WithLength(kCutEvents), Chunked(kCutEvents)}) {
    ScriptedTarget target(loop_.get(), [&](const ReceivedRequest& request) {
      request.stream->Write(response);
      request.stream->FinishWriting();
    });
    SetTargets({&target});
    std::string request = Request("stream");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    TestCaller caller(loop_.get(), relay_->CallerAddress());
    caller.Send(request);
    ASSERT_TRUE(RunUntil([&caller] { return caller.Ended(); }));
    EXPECT_TRUE(caller.WasReset()) << caller.Received();
  }
}

// A crashed target can close its connection in an orderly way after the head.
TEST_F(ResponseEndTest, UnframedStreamWithoutEventIsNoSuccess) {
  const std::unique_ptr<TestCaller> caller =
      SendAnsweredBy("stream", Unframed(""));
  ASSERT_NE(caller->Response(), nullptr);
  EXPECT_EQ(caller->Response()->Head().status, 502);
}

TEST_F(ResponseEndTest, FramedStreamWithoutEventIsWhole) {
  for (const std::string& response : {WithLength(""), Chunked("")}) {
    const std::unique_ptr<TestCaller> caller =
        SendAnsweredBy("stream", response);
    ASSERT_NE(caller->Response(), nullptr) << response;
    EXPECT_EQ(caller->Response()->Head().status, 200);
  }
}

TEST_F(ResponseEndTest, UnframedResumableStreamCutInsideEventGoesOnElsewhere) {
  for (const std::string& first : {Unframed(kCutEvents), WithLength(kCutEvents),
                                   Chunked(kCutEvents), Unframed("")}) {
    std::string resumed_after;
    int n = 0;
    const auto script = [&](const ReceivedRequest& request) {
      resumed_after = request.Header("Last-Event-Id");
      const std::string rest =
          resumed_after == "1" ? "id: 2\ndata: b\n\n"
                               : std::string(kEvents) + "id: 2\ndata: b\n\n";
      request.stream->Write(n++ == 0 ? first : Unframed(rest));
      request.stream->FinishWriting();
    };
    ScriptedTarget a(loop_.get(), script);
    ScriptedTarget b(loop_.get(), script);
    SetTargets({&a, &b});
    const std::unique_ptr<TestCaller> caller =
        SendRequest(Request("resume", "r1", "", first));
    ASSERT_NE(caller->Response(), nullptr) << first;
    EXPECT_EQ(*caller->Response()->Body(),
              "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(n, 2);
  }
}

TEST_F(ResponseEndTest, ResumedStreamCutAgainIsBrokenOff) {
  int n = 0;
  const auto script = [&n](const ReceivedRequest& request) {
    request.stream->Write(n++ == 0 ? Unframed(kCutEvents)
                                   : Unframed("id: 2\ndata: b\n\nid"));
    request.stream->FinishWriting();
  };
  ScriptedTarget a(loop_.get(), script);
  ScriptedTarget b(loop_.get(), script);
  SetTargets({&a, &b});
  const std::unique_ptr<TestCaller> caller = SendRequest(Request("resume"));
  ExpectBrokenOff(*caller);
  EXPECT_EQ(n, 2);
}

TEST_F(ResponseEndTest, CutPlainResponseIsReplacedWholeOnlyWhereItMayRepeat) {
  const std::string cut_length = SignedHead("Content-Length: 5\r\n") + "who";
  const std::string cut_chunk =
      SignedHead("Transfer-Encoding: chunked\r\n") + "5\r\nwho";
  for (const std::string& first : {cut_length, cut_chunk}) {
    for (const char* kind : {"safe", "unsafe"}) {
      int n = 0;
      const auto script = [&](const ReceivedRequest& request) {
        request.stream->Write(n++ == 0 ? first : Unframed("whole"));
        request.stream->FinishWriting();
      };
      ScriptedTarget a(loop_.get(), script);
      ScriptedTarget b(loop_.get(), script);
      SetTargets({&a, &b});
      const std::unique_ptr<TestCaller> caller =
          SendRequest(Request(kind, "r1", "", first + kind));
      ASSERT_NE(caller->Response(), nullptr);
      const bool repeats = std::string(kind) == "safe";
      EXPECT_EQ(caller->Response()->Head().status, repeats ? 200 : 502);
      EXPECT_EQ(n, repeats ? 2 : 1);
      if (repeats) {
        EXPECT_EQ(*caller->Response()->Body(), "whole");
      }
    }
  }
}

TEST_F(ResponseEndTest, UnframedPlainResponseIsWholeAtAnySize) {
  // The larger one is forwarded before its end.
  for (const std::size_t size :
       {std::size_t{0}, std::size_t{5}, std::size_t{600'000}}) {
    for (const char* kind : {"safe", "unsafe"}) {
      const std::string body(size, 'x');
      const std::unique_ptr<TestCaller> caller =
          SendAnsweredBy(kind, Unframed(body));
      ASSERT_NE(caller->Response(), nullptr) << kind << size;
      EXPECT_EQ(caller->Response()->Head().status, 200);
      EXPECT_EQ(*caller->Response()->Body(), body);
    }
  }
}

TEST_F(ResponseEndTest, ResetUnframedResponseIsNotWhole) {
  for (const char* kind : {"stream", "unsafe"}) {
    ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
      request.stream->Write(Unframed(kEvents));
      request.stream->Abort();
    });
    SetTargets({&target});
    const std::unique_ptr<TestCaller> caller = SendRequest(Request(kind));
    const std::unique_ptr<HttpParser> response = caller->Response();
    EXPECT_TRUE(response == nullptr || response->Head().status == 502) << kind;
  }
}

TEST_F(ResponseEndTest, PlainResponseOfStreamingRouteNeedsNoEvent) {
  const std::string body = R"({"choices": []})";
  std::string response = Unframed(body);
  const std::string type = "text/event-stream";
  response.replace(response.find(type), type.size(), "application/json");
  const std::unique_ptr<TestCaller> caller = SendAnsweredBy("stream", response);
  ASSERT_NE(caller->Response(), nullptr);
  EXPECT_EQ(*caller->Response()->Body(), body);
}

TEST_F(ResponseEndTest, WholeStreamStaysWholeWithEachLineEnding) {
  for (const char* kind : {"stream", "resume"}) {
    for (const std::string body :
         {"id: 1\ndata: a\n\n", "id: 1\rdata: a\r\r", "id: 1\r\ndata: a\r\n\n",
          "id: 1\ndata: a\n\n: end\n"}) {
      const std::unique_ptr<TestCaller> caller =
          SendAnsweredBy(kind, Chunked(body));
      ASSERT_NE(caller->Response(), nullptr) << kind << body;
      EXPECT_EQ(*caller->Response()->Body(), body) << kind;
    }
  }
}

// A stream had begun and broke off; the next target answers with an error.
TEST_F(ResponseEndTest, ErrorAfterBrokenStreamIsNotPartOfIt) {
  const std::string text = "internal ERROR text\n\n";
  const std::string events = "event: error\ndata: ERROR\n\n";
  std::vector<std::string> errors;
  for (const std::string& body : {text, events, std::string()}) {
    for (const char* status :
         {"500 ERROR", "503 ERROR", "404 ERROR", "421 ERROR", "301 ERROR"}) {
      for (const std::string& response :
           {WithLength(body), Chunked(body), Unframed(body)}) {
        std::string error = response;
        error.replace(error.find("200 OK"), 6, status);
        errors.push_back(error);
      }
    }
    // Unsigned, and signed but no events.
    for (const char* from : {"Upstream-Signature: s\r\n", "event-stream"}) {
      std::string error = WithLength(body.empty() ? text : body);
      const std::string to = std::string(from) == "event-stream" ? "plain" : "";
      error.replace(error.find(from), std::string(from).size(), to);
      errors.push_back(error);
    }
  }
  for (const std::string& error : errors) {
    // Losses of the requests before would count against this one.
    RestartRelay();
    int n = 0;
    const auto script = [&](const ReceivedRequest& request) {
      request.stream->Write(n++ == 0 ? Unframed(kCutEvents) : error);
      request.stream->FinishWriting();
    };
    ScriptedTarget a(loop_.get(), script);
    ScriptedTarget b(loop_.get(), script);
    SetTargets({&a, &b});
    const std::unique_ptr<TestCaller> caller =
        SendRequest(Request("resume", "r1", "", error));
    ExpectBrokenOff(*caller);
    EXPECT_EQ(caller->Received().find("ERROR"), std::string::npos) << error;
    EXPECT_EQ(n, 2) << error;
  }
}

}  // namespace
}  // namespace hornbeamcleat
