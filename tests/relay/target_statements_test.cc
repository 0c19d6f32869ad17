#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/timer_service.h"
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

}  // namespace
}  // namespace hornbeamcleat
