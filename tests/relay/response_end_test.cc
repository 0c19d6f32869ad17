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

}  // namespace
}  // namespace hornbeamcleat
