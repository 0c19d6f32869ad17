#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/timer_service.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr double kColdPerSecond = 9.1;
constexpr Duration kColdTime = milliseconds(2'500);
/// 9.1 x 1.5 + 5 requests in any second.
constexpr int kAllowed = 18;
constexpr Duration kRequestInterval = milliseconds(10);
constexpr Duration kWork = milliseconds(40);
/// Until VMs that have started hold turns.
constexpr Duration kTurnDelay = milliseconds(2'300);

/// Target that may be cold, and the requests that it received.
struct ColdTarget {
  std::unique_ptr<ScriptedTarget> target;
  std::vector<Time> arrivals;

  int MostInSecond(Time from, Time until) const {
    int most = 0;
    for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
      if (*it < from) {
        continue;
      }
      const Time end = std::min(until, *it + std::chrono::seconds(1));
      most = std::max(
          most, static_cast<int>(std::count_if(
                    it, arrivals.end(), [end](Time at) { return at < end; })));
    }
    return most;
  }

  int CountFrom(Time from, Time until) const {
    return static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](Time at) { return at >= from && at < until; }));
  }
};

/// Relays of several VMs before targets that stop and come back.
class ColdTargetsRelayTest : public RelayFixture {
 protected:
  ServingConfig ColdConfig(bool has_cold_targets) const {
    ServingConfig config = Config();
    ServiceSpec service;
    service.name = "s";
    if (has_cold_targets) {
      service.cold_start = kColdTime;
      service.cold_per_second = kColdPerSecond;
    }
    config.services = {service};
    return config;
  }

  std::unique_ptr<Relay> MakeColdRelay(bool has_cold_targets,
                                       const std::string& domain = "d") {
    RelayOptions options = Options();
    options.failure_domain = domain;
    options.peer_address = FreeUdpAddress();
    options.max_connections = 2'000;
    options.cold_bounds = {1.5, 5};
    std::unique_ptr<Relay> relay = MakeRelay(options, false);
    relay->SetConfig(
        std::make_shared<const RouteTable>(ColdConfig(has_cold_targets)));
    relay->OnConfigConfirmed(clock_->SuspendAwareNow());
    return relay;
  }

  void StartVms(int count, bool has_cold_targets = true) {
    relay_.reset();
    for (int i = 0; i < count; ++i) {
      relays_.push_back(MakeColdRelay(has_cold_targets));
    }
    SetMembersOfAll();
  }

  void SetMembersOfAll() {
    std::vector<VmRecord> members;
    for (const std::unique_ptr<Relay>& relay : relays_) {
      members.push_back(relay->SelfRecord());
    }
    for (const std::unique_ptr<Relay>& relay : relays_) {
      relay->SetMembers(members);
    }
  }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    while (clock_->Now() < end) {
      for (const std::unique_ptr<Relay>& relay : relays_) {
        relay->OnConfigConfirmed(clock_->SuspendAwareNow());
      }
      const Time next = std::min(end, clock_->Now() + milliseconds(500));
      RunUntil([&] { return clock_->Now() >= next; });
    }
  }

  static std::string Answer(const ReceivedRequest& request) {
    constexpr char kBody[] = "id: 1\ndata: a\n\n";
    return fmt::format(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nUpstream-Signature: s\r\n"
        "Content-Length: {}\r\n\r\n{}",
        request.Header("Request-Id"), sizeof(kBody) - 1, kBody);
  }

  ColdTarget* AddTarget(const std::string& id, int slots) {
    targets_.push_back(std::make_unique<ColdTarget>());
    ColdTarget* cold = targets_.back().get();
    cold->target = std::make_unique<ScriptedTarget>(
        loop_.get(), [this, cold](const ReceivedRequest& request) {
          cold->arrivals.push_back(clock_->Now());
          const std::size_t crash = crashes_;
          timers_.push_back(loop_->Timers()->At(
              clock_->Now() + kWork, [this, request, crash](Time) {
                if (crash == crashes_) {
                  request.stream->Write(Answer(request));
                }
              }));
        });
    ServingTarget spec = Spec(id, *cold->target);
    spec.slots = slots;
    spec.start_time_ms = 1'000;
    spec.read_at = clock_->SuspendAwareNow();
    specs_.push_back(spec);
    return cold;
  }

  void SetTargetsOfAll() {
    for (const std::unique_ptr<Relay>& relay : relays_) {
      relay->SetTargets(specs_);
    }
  }

  void AskFor(Duration time) {
    constexpr const char* kKinds[] = {"safe", "unsafe", "stream", "resume"};
    const Time end = clock_->Now() + time;
    Time next = clock_->Now();
    while (clock_->Now() < end) {
      const std::size_t n = callers_.size();
      Relay* relay = relays_[n % relays_.size()].get();
      relay->OnConfigConfirmed(clock_->SuspendAwareNow());
      callers_.push_back(
          std::make_unique<TestCaller>(loop_.get(), relay->CallerAddress()));
      callers_.back()->Send(
          Request(kKinds[n / relays_.size() % 4], fmt::format("n{}", n)));
      next += kRequestInterval;
      RunUntil([&] { return clock_->Now() >= next; });
    }
  }

  /// Most callers of the last `count` got their answer.
  int Served(std::size_t count) const {
    int served = 0;
    for (std::size_t i = callers_.size() - count; i < callers_.size(); ++i) {
      const std::unique_ptr<HttpParser> answer = callers_[i]->Response();
      served += answer != nullptr && answer->Head().status == 200 ? 1 : 0;
    }
    return served;
  }

  std::size_t crashes_ = 0;
  std::vector<std::unique_ptr<ColdTarget>> targets_;
  std::vector<std::unique_ptr<TimerService::Subscription>> timers_;
  std::vector<ServingTarget> specs_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<std::unique_ptr<TestCaller>> callers_;
};

class ColdTargetsOfVmsTest : public ColdTargetsRelayTest,
                             public testing::WithParamInterface<int> {};

// The observed fault: all VMs hold the old record when the target comes back.
TEST_P(ColdTargetsOfVmsTest, TargetThatStopsAndReturnsIsKeptWithinBound) {
  StartVms(GetParam());
  ColdTarget* cold = AddTarget("t0", 8);
  AddTarget("t1", 2);
  SetTargetsOfAll();
  RunFor(kTurnDelay);
  AskFor(milliseconds(500));
  EXPECT_GT(cold->arrivals.size(), 10U);
  ++crashes_;
  cold->target->Crash();
  AskFor(milliseconds(1'500));
  const Time back = clock_->Now();
  cold->target->ListenAgain();
  AskFor(milliseconds(1'000));
  // Its new record is read.
  specs_[0].start_time_ms = 2'000;
  specs_[0].cold_remaining = kColdTime;
  specs_[0].read_at = clock_->SuspendAwareNow();
  const Time warm = clock_->Now() + kColdTime;
  SetTargetsOfAll();
  AskFor(kColdTime + milliseconds(1'500));
  EXPECT_LE(cold->MostInSecond(back, warm), kAllowed);
  // Used while it is cold, and in full afterwards. Each of 22 VMs has fewer
  // requests than its turn allows.
  if (GetParam() <= 3) {
    EXPECT_GE(cold->CountFrom(back, warm), 12);
  }
  EXPECT_GE(
      cold->CountFrom(warm + milliseconds(500), warm + milliseconds(1'500)),
      30);
}

INSTANTIATE_TEST_SUITE_P(Vms, ColdTargetsOfVmsTest, testing::Values(1, 3, 22));

TEST_F(ColdTargetsRelayTest, ServiceWithoutColdTargetsIsSentAllRequests) {
  StartVms(3, false);
  ColdTarget* plain = AddTarget("t0", 8);
  specs_[0].cold_remaining = kColdTime;
  SetTargetsOfAll();
  RunFor(milliseconds(300));
  const Time from = clock_->Now();
  AskFor(milliseconds(1'000));
  EXPECT_GE(plain->CountFrom(from, clock_->Now()), 60);
}

TEST_F(ColdTargetsRelayTest, OnlyTargetThatIsColdLeavesEachCallerAnAnswer) {
  StartVms(3);
  ColdTarget* cold = AddTarget("t0", 8);
  specs_[0].cold_remaining = milliseconds(6'000);
  const Time from = clock_->Now();
  SetTargetsOfAll();
  RunFor(kTurnDelay);
  AskFor(milliseconds(2'000));
  EXPECT_LE(cold->MostInSecond(from, clock_->Now()), kAllowed);
  EXPECT_GE(cold->arrivals.size(), 10U);
  RunFor(milliseconds(1'500));
  for (const std::unique_ptr<TestCaller>& caller : callers_) {
    const std::unique_ptr<HttpParser> answer = caller->Response();
    ASSERT_NE(answer, nullptr);
    EXPECT_TRUE(answer->Head().status == 200 ||
                FindHeader(answer->Head().headers, "Retry-After") != nullptr);
  }
}

// One VM alone knows that a target is cold; it may hold no turn itself.
TEST_F(ColdTargetsRelayTest, VmThatStartsWhileTargetIsColdKeepsBound) {
  StartVms(3);
  ColdTarget* cold = AddTarget("t0", 8);
  AddTarget("t1", 2);
  SetTargetsOfAll();
  RunFor(kTurnDelay);
  AskFor(milliseconds(500));
  ++crashes_;
  cold->target->Crash();
  AskFor(milliseconds(1'000));
  relays_.push_back(MakeColdRelay(true));
  SetMembersOfAll();
  relays_.back()->SetTargets(specs_);
  const Time back = clock_->Now();
  cold->target->ListenAgain();
  AskFor(milliseconds(2'000));
  EXPECT_LE(cold->MostInSecond(back, clock_->Now()), kAllowed);
}

// Beyond 16 VMs, changes of load go to the own failure domain only. The VMs of
// the other one have sent the target nothing and would fill it.
TEST_F(ColdTargetsRelayTest, VmsOfOtherDomainThatWereNotInvolvedHearOfLoss) {
  constexpr std::size_t kVms = 18;
  relay_.reset();
  for (std::size_t i = 0; i < kVms; ++i) {
    relays_.push_back(MakeColdRelay(true, i == 0 ? "d" : "e"));
  }
  SetMembersOfAll();
  ColdTarget* cold = AddTarget("t0", 50);
  SetTargetsOfAll();
  RunFor(kTurnDelay);
  std::vector<std::unique_ptr<Relay>> others(
      std::make_move_iterator(relays_.begin() + 1),
      std::make_move_iterator(relays_.end()));
  relays_.resize(1);
  AskFor(milliseconds(300));
  ++crashes_;
  cold->target->Crash();
  RunFor(milliseconds(300));
  relays_.swap(others);
  const Time back = clock_->Now();
  cold->target->ListenAgain();
  AskFor(milliseconds(1'500));
  EXPECT_LE(cold->MostInSecond(back, clock_->Now()), kAllowed);
  relays_.push_back(std::move(others[0]));
}

// One broken answer would take the target's capacity for seconds.
TEST_F(ColdTargetsRelayTest, BrokenAnswerBesideOthersLeavesTargetWarm) {
  StartVms(2);
  ColdTarget* target = AddTarget("t0", 8);
  SetTargetsOfAll();
  RunFor(kTurnDelay);
  int received = 0;
  target->target->SetScript(
      [this, target, &received](const ReceivedRequest& request) {
        target->arrivals.push_back(clock_->Now());
        if (++received == 20) {
          request.stream->Abort();
          return;
        }
        // The events of a stream go on for longer than a loss waits for proof.
        request.stream->Write(
            fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                        "Upstream-Signature: s\r\nContent-Length: 30\r\n\r\n"
                        "id: 1\ndata: a\n\n",
                        request.Header("Request-Id")));
        timers_.push_back(loop_->Timers()->At(
            clock_->Now() + milliseconds(120),
            [request](Time) { request.stream->Write("id: 2\ndata: b\n\n"); }));
      });
  AskFor(milliseconds(1'500));
  const Time from = clock_->Now();
  AskFor(milliseconds(1'000));
  EXPECT_GE(target->CountFrom(from, clock_->Now()), 40);
}

}  // namespace
}  // namespace hornbeamcleat
