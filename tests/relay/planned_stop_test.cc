#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/base/timer_service.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCallInterval = milliseconds(100);
constexpr char kEvent[] = "id: 1\ndata: a\n\n";
constexpr char kLastEvent[] = "id: 2\ndata: b\n\n";

/// How long a target works on each request.
struct Work {
  Duration until_head{0};
  Duration until_end{0};  ///< after the head

  Duration Total() const { return until_head + until_end; }
};

/// A VM that is stopped while callers go on using connections that they opened
/// before.
class PlannedStopTest : public RelayFixture {
 protected:
  void Start(Duration grace, const Work& work) {
    target_ = std::make_unique<ScriptedTarget>(
        loop_.get(), [this, work](const ReceivedRequest& request) {
          received_.insert(request.Header("Request-Id"));
          Answer(request, work);
        });
    RelayOptions options = Options();
    options.shutdown_grace = grace;
    relay_.reset();
    relay_ = MakeRelay(options);
    Configure(Config());
    ServingTarget spec = Spec("t", *target_);
    spec.slots = 100;
    relay_->SetTargets({spec});
  }

  void Answer(const ReceivedRequest& request, const Work& work) {
    const std::string head = fmt::format(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nUpstream-Signature: s\r\n"
        "Content-Length: {}\r\n\r\n{}",
        request.Header("Request-Id"), 2 * (sizeof(kEvent) - 1), kEvent);
    Later(work.until_head, [request, head] { request.stream->Write(head); });
    Later(work.Total(), [request] { request.stream->Write(kLastEvent); });
  }

  void Later(Duration after, std::function<void()> what) {
    timers_.push_back(loop_->Timers()->At(
        clock_->Now() + after, [what = std::move(what)](Time) { what(); }));
  }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    RunUntil([&] { return clock_->Now() >= end; });
  }

  /// Lets the VM learn how long requests take.
  void WarmUp(const std::string& kind) {
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < 4; ++i) {
      callers.push_back(
          std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress()));
      callers.back()->Send(Request(kind, fmt::format("warm{}", i)));
    }
    for (const std::unique_ptr<TestCaller>& caller : callers) {
      ASSERT_TRUE(RunUntil([&] { return caller->Response() != nullptr; }));
    }
    relay_->OnConfigConfirmed(clock_->SuspendAwareNow());
  }

  /// Stops the VM; one caller sends a request each 100 ms until it is gone.
  void StopUnderLoad(const std::string& kind, Duration grace) {
    const int calls = static_cast<int>(grace / kCallInterval) - 1;
    for (int i = 0; i < calls; ++i) {
      callers_.push_back(
          std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress()));
    }
    RunFor(milliseconds(20));
    relay_->Drain();
    const Time stopped = clock_->Now();
    for (int i = 0; i < calls && !relay_->IsDrained(); ++i) {
      callers_[static_cast<std::size_t>(i)]->Send(
          Request(kind, fmt::format("n{}", i)));
      ++asked_;
      RunUntil([&] {
        return relay_->IsDrained() ||
               clock_->Now() >= stopped + (i + 1) * kCallInterval;
      });
    }
    RunUntil([this] { return relay_->IsDrained(); });
    EXPECT_LT(clock_->Now() - stopped, grace);
    relay_.reset();
    RunFor(milliseconds(20));
    timers_.clear();
  }

  int CountOf(int status) const {
    int count = 0;
    for (const std::unique_ptr<TestCaller>& caller : callers_) {
      const std::unique_ptr<HttpParser> answer = caller->Response();
      count += answer != nullptr && answer->Head().status == status ? 1 : 0;
    }
    return count;
  }

  /// Requests that a target got and whose callers got no complete answer.
  int Cut() const {
    int cut = 0;
    for (int i = 0; i < asked_; ++i) {
      cut +=
          received_.contains(fmt::format("n{}", i)) &&
                  callers_[static_cast<std::size_t>(i)]->Response() == nullptr
              ? 1
              : 0;
    }
    return cut;
  }

  std::unique_ptr<ScriptedTarget> target_;
  std::set<std::string> received_;
  std::vector<std::unique_ptr<TestCaller>> callers_;
  std::vector<std::unique_ptr<TimerService::Subscription>> timers_;
  int asked_ = 0;
};

struct StopCase {
  const char* kind;
  Duration grace;
  Work work;
};

class PlannedStopOfGraceTest : public PlannedStopTest,
                               public testing::WithParamInterface<StopCase> {};

TEST_P(PlannedStopOfGraceTest, RequestsThatComeAfterStopAreNotCut) {
  const StopCase& param = GetParam();
  Start(param.grace, param.work);
  WarmUp(param.kind);
  StopUnderLoad(param.kind, param.grace);
  EXPECT_GT(asked_, 5);
  EXPECT_EQ(Cut(), 0);
  // All others are told that they haven't run, and went to no target.
  EXPECT_EQ(CountOf(200), static_cast<int>(received_.size()) - 4);
  EXPECT_EQ(CountOf(200) + CountOf(503), asked_);
}

std::vector<StopCase> StopCases() {
  std::vector<StopCase> cases;
  for (const char* kind : {"safe", "unsafe", "stream"}) {
    for (const int work_ms : {300, 1'000}) {
      for (const int end_ms : {0, 900}) {
        cases.push_back({kind,
                         milliseconds(2'000),
                         {milliseconds(work_ms), milliseconds(end_ms)}});
      }
    }
  }
  cases.push_back(
      {"unsafe", milliseconds(1'000), {milliseconds(300), milliseconds(0)}});
  cases.push_back({"unsafe",
                   milliseconds(4'000),
                   {milliseconds(1'000), milliseconds(900)}});
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Graces, PlannedStopOfGraceTest,
                         testing::ValuesIn(StopCases()));

// Nothing is known of how long requests take.
TEST_F(PlannedStopTest, UnsafeRequestThatCannotEndInTimeIsAnswered) {
  Start(milliseconds(2'000), {milliseconds(60'000), milliseconds(0)});
  StopUnderLoad("unsafe", milliseconds(2'000));
  EXPECT_GT(received_.size(), 0U);
  EXPECT_EQ(Cut(), 0);
  EXPECT_EQ(CountOf(502), static_cast<int>(received_.size()));
  EXPECT_EQ(CountOf(502) + CountOf(503), asked_);
}

// Callers have cached the VM's address for seconds.
TEST_F(PlannedStopTest, RequestsAreServedFirstIfTheGraceAllowsIt) {
  Start(milliseconds(4'000), {milliseconds(50), milliseconds(0)});
  WarmUp("safe");
  StopUnderLoad("safe", milliseconds(4'000));
  EXPECT_GE(CountOf(200), 11);
  EXPECT_EQ(CountOf(200) + CountOf(503), asked_);
}

}  // namespace
}  // namespace hornbeamcleat
