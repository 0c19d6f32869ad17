#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "src/entry/submission.h"
#include "tests/schedule/scheduler_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr int kTargets = 10;
constexpr int kRequests = 40;
/// Lost targets after which requests with a property must be refused.
constexpr int kMaxCrashes = 5;
constexpr int kStepMs = 200;

/// Requests as callers send them, which end targets that run some of them.
class CrashingRequestTest : public SchedulerFixture {
 protected:
  enum class End { kAnswered, kCrashed, kRefused };

  void SetUp() override {
    SchedulerFixture::SetUp();
    for (int i = 2; i < kTargets; ++i) {
      AddTarget(fmt::format("e{}", i), "m");
    }
    Apply();
  }

  RequestSpec Read(const std::string& id,
                   const std::vector<std::string>& messages) const {
    CallerRequest request;
    request.path = "/v1/chat/completions";
    request.headers = {{"workspace", "gold"}, {"application", "chat"}};
    std::string list;
    for (const std::string& message : messages) {
      list += fmt::format(R"({}{{"content":"{}"}})", list.empty() ? "" : ",",
                          message);
    }
    request.body = fmt::format(R"({{"messages":[{}]}})", list);
    RequestSpec spec = ReadSubmission(request, id, now_);
    ReadBody(request.body, &spec);
    return spec;
  }

  // Submits a request, which crashes its target after the first part if it is
  // deadly.
  End Run(const std::vector<std::string>& messages, bool is_deadly) {
    const std::string id = fmt::format("r{}", ++requests_);
    const Actions actions = scheduler_->Submit(Read(id, messages), now_);
    End end = End::kRefused;
    if (!All<DispatchAction>(actions).empty()) {
      Send(RequestSent{id});
      Advance(kStepMs / 2);
      Send(PartsReceived{id, 1});
      if (is_deadly) {
        Send(ConnectionLost{id});
        Send(ResumeFailed{id, false});
        end = End::kCrashed;
      } else {
        Send(AnswerDone{id, 10, 0});
        end = End::kAnswered;
      }
    }
    Elapse(kStepMs);
    return end;
  }

  int requests_ = 0;
};

// Losses were kept by whole bodies only.
TEST_F(CrashingRequestTest, RequestsWithDeadlyPartAreRefusedAtAnyPlace) {
  for (std::size_t place = 0; place < 3; ++place) {
    Restart(SchedulerOptions{});
    int crashes = 0;
    int answered = 0;
    for (int i = 0; i < kRequests; ++i) {
      std::vector<std::string> sound = {"common", "middle", "last",
                                        fmt::format("own {}", i)};
      std::vector<std::string> deadly = sound;
      deadly[place] = "bad";
      deadly.back() += " of a deadly one";
      crashes += Run(deadly, true) == End::kCrashed ? 1 : 0;
      answered += Run(sound, false) == End::kAnswered ? 1 : 0;
    }
    EXPECT_LE(crashes, kMaxCrashes) << "place " << place;
    EXPECT_GE(answered, kRequests - kMaxCrashes) << "place " << place;
  }
}

}  // namespace
}  // namespace hornbeamcleat
