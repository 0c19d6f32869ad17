#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/relay/peer_link.h"
#include "src/serving/loss_table.h"
#include "tests/relay/crashing_targets_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr char kCutEvent[] = "7\r\nid: 2\nd\r\n";

/// Requests whose content ends each target that runs it.
using CrashingContentTest = CrashingTargetsFixture;

TEST_F(CrashingContentTest, ContentThatEndsTargetsIsRefusedAtAnyStage) {
  const std::string head = kStreamHead;
  for (const char* kind : {"stream", "resume", "unsafe", "safe"}) {
    for (const std::string& bytes : {std::string(), head, head + kFirstEvent,
                                     head + kFirstEvent + kCutEvent}) {
      AnswerSoundRequest(kind, kind + bytes);
      StartCrashingTargets(8, bytes);
      for (int i = 0; i < 6; ++i) {
        SendRequest(Request(kind, "r1", "", kind + bytes));
      }
      EXPECT_EQ(RequestCount(), 2) << kind << " after " << bytes;
    }
  }
}

TEST_F(CrashingContentTest, RepeatsOfOneRequestEndNoMoreTargetsThanLimit) {
  ServingConfig config = Config(2);
  for (ServingRoute& route : config.routes) {
    route.max_attempts = 6;
  }
  Configure(config);
  for (const char* kind : {"safe", "resume"}) {
    AnswerSoundRequest(kind, kind);
    StartCrashingTargets(8, std::string(kStreamHead) + kFirstEvent);
    const std::unique_ptr<TestCaller> caller =
        SendRequest(Request(kind, "r1", "", kind));
    EXPECT_EQ(RequestCount(), 2) << kind;
  }
}

// Two requests run and two wait for a slot when the targets end.
TEST_F(CrashingContentTest, WaitingRequestsOfRefusedContentAreRefusedAtOnce) {
  std::vector<ReceivedRequest> running;
  const auto hold = [&running](const ReceivedRequest& request) {
    running.push_back(request);
  };
  ScriptedTarget* a = AddTarget(hold);
  ScriptedTarget* b = AddTarget(hold);
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(
        std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress()));
    callers.back()->Send(Request("unsafe", fmt::format("r{}", i)));
  }
  ASSERT_TRUE(RunUntil([&running] { return running.size() == 2; }));
  const Time crashed_at = clock_->Now();
  Crash(a, running[0], "");
  Crash(b, running[1], "");
  ScriptedTarget* c = AddTarget(hold);
  ASSERT_TRUE(RunUntil([&callers] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->Response() != nullptr;
    });
  }));
  EXPECT_LT(clock_->Now() - crashed_at, std::chrono::milliseconds(200));
  EXPECT_EQ(c->RequestCount(), 0);
  int not_run = 0;
  std::set<double> retry_afters;
  for (const std::unique_ptr<TestCaller>& caller : callers) {
    const std::unique_ptr<HttpParser> response = caller->Response();
    if (response->Head().status == 503) {
      ++not_run;
      const double retry_after =
          std::stod(*FindHeader(response->Head().headers, "Retry-After"));
      // The first trial is due after 5 s; callers return in the 3 s after it.
      EXPECT_GE(retry_after, 4.95);
      EXPECT_LE(retry_after, 8);
      retry_afters.insert(retry_after);
    }
  }
  EXPECT_EQ(not_run, 2);
  EXPECT_EQ(retry_afters.size(), 2U);
}

// An unframed stream that a crash cuts between two events looks complete.
TEST_F(CrashingContentTest, UnframedStreamDoesNotClearLosses) {
  const std::string unframed =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: sig\r\n"
      "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
  int total = 0;
  for (const std::string& bytes :
       {std::string(kStreamHead), unframed, std::string(kStreamHead)}) {
    StartCrashingTargets(1, bytes);
    SendRequest(Request("stream"));
    total += RequestCount();
  }
  EXPECT_EQ(total, 3);
  StartCrashingTargets(1, kStreamHead);
  SendRequest(Request("stream"));
  EXPECT_EQ(RequestCount(), 0);
}

// Connections also end by resets on the way, or because a target has too many.
TEST_F(CrashingContentTest, ConnectionLostByTargetThatAnswersIsNotCounted) {
  const auto reset_content_x = [](const ReceivedRequest& request) {
    if (request.body == "x") {
      request.stream->Abort();
    } else {
      request.stream->Write(SignedResponse("r1", "ok"));
    }
  };
  for (int i = 0; i < 3; ++i) {
    targets_.clear();
    specs_.clear();
    ++generation_;
    ScriptedTarget* target = AddTarget(reset_content_x);
    SendRequest(Request("unsafe", "r1", "", "x"));
    EXPECT_EQ(target->RequestCount(), 1) << i;
    // The target is avoided for a moment after the lost connection.
    std::unique_ptr<TestCaller> other;
    do {
      other = SendRequest(Request("unsafe", "r1", "", "y"));
    } while (target->RequestCount() < 2);
    ASSERT_NE(other->Response(), nullptr);
    EXPECT_EQ(other->Response()->Head().status, 200);
  }
}

// Another process at the address of a lost target rejects its requests.
TEST_F(CrashingContentTest, RejectionByWrongInstanceDoesNotDropLosses) {
  int answered = 0;
  for (int i = 0; i < 3; ++i) {
    targets_.clear();
    specs_.clear();
    ++generation_;
    ScriptedTarget* target = AddTarget([](const ReceivedRequest& request) {
      if (request.body == "x") {
        request.stream->Abort();
      } else {
        request.stream->Write(
            "HTTP/1.1 421 X\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n");
      }
    });
    SendRequest(Request("unsafe", "r1", "", "x"));
    answered += target->RequestCount();
    while (target->RequestCount() < 2 && i < 2) {
      SendRequest(Request("unsafe", "r1", "", "y"));
    }
  }
  EXPECT_EQ(answered, 2);
}

// A second loss then tells whether the content causes them, and repeats from
// several VMs end one target instead of several.
TEST_F(CrashingContentTest, ContentWithOneLossGoesToOneTargetOnly) {
  for (int content = 0; content < 8; ++content) {
    const std::string body = fmt::format("content {}", content);
    AnswerSoundRequest("stream", body);
    StartCrashingTargets(1, kStreamHead);
    SendRequest(Request("stream", "r1", "", body));
    targets_.clear();
    specs_.clear();
    ++generation_;
    for (int i = 0; i < 6; ++i) {
      AddTarget([](const ReceivedRequest&) {});
      specs_.back().slots = kTargetSlots;
    }
    relay_->SetTargets(specs_);
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < 3; ++i) {
      callers.push_back(
          std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress()));
      callers.back()->Send(Request("stream", fmt::format("r{}", i), "", body));
    }
    ASSERT_TRUE(RunUntil([this] { return RequestCount() == 3; }));
    EXPECT_TRUE(std::any_of(
        targets_.begin(), targets_.end(),
        [](const auto& target) { return target->RequestCount() == 3; }));
  }
}

// Beyond 16 VMs, other failure domains get details every two seconds.
TEST_F(CrashingContentTest, LossIsReportedToVmsOfOtherDomainsAtOnce) {
  std::optional<LossReport> report;
  const Address address = FreeUdpAddress();
  const std::unique_ptr<PeerLink> peer = PeerLink::Open(
      loop_.get(), clock_.get(), address, [&report](const PeerState& state) {
        if (state.losses.has_value() && !state.losses->losses.empty()) {
          report = state.losses;
        }
      });
  std::vector<VmRecord> members = {{address.ToString(), "127.0.0.1:1", "far"}};
  for (int i = 1; i < 20; ++i) {
    members.push_back({fmt::format("127.0.0.1:{}", i), "127.0.0.1:1", "far"});
  }
  relay_->SetMembers(members);
  StartCrashingTargets(1, kStreamHead);
  SendRequest(Request("stream"));
  const Time lost_at = clock_->Now();
  ASSERT_TRUE(RunUntil([&report] { return report.has_value(); }));
  EXPECT_LT(clock_->Now() - lost_at, std::chrono::milliseconds(200));
  EXPECT_EQ(std::count_if(report->losses.begin(), report->losses.end(),
                          [](const PropertyLoss& loss) {
                            return loss.property.Kind() ==
                                   PropertyKind::kContent;
                          }),
            1);
}

// When many targets end at once, reports that grow with each loss fill the
// links of all VMs for seconds.
TEST_F(CrashingContentTest, EachLossIsReportedOnceBetweenHeartbeats) {
  constexpr int kLosses = 20;
  std::size_t reported = 0;
  const Address address = FreeUdpAddress();
  const std::unique_ptr<PeerLink> peer = PeerLink::Open(
      loop_.get(), clock_.get(), address, [&reported](const PeerState& state) {
        if (state.losses.has_value() && !state.details.has_value()) {
          for (const PropertyLoss& loss : state.losses->losses) {
            const bool is_content =
                loss.property.Kind() == PropertyKind::kContent;
            reported += is_content ? 1 : 0;
            EXPECT_LE(loss.runs.size(),
                      is_content ? 1 : LossTable::kMaxTargetsPerProperty);
          }
        }
      });
  relay_->SetMembers({{address.ToString(), "127.0.0.1:1", "far"}});
  for (int i = 0; i < kLosses; ++i) {
    const std::string body = fmt::format("content {}", i);
    AnswerSoundRequest("stream", body);
    StartCrashingTargets(1, kStreamHead);
    SendRequest(Request("stream", "r1", "", body));
  }
  ASSERT_TRUE(RunUntil([&reported] { return reported >= kLosses; }));
  EXPECT_EQ(reported, kLosses);
}

TEST_F(CrashingContentTest, StartedPeerIsSentAllLosses) {
  RelayOptions options = Options();
  options.peer_address = FreeUdpAddress();
  relay_ = MakeRelay(options);
  Configure(Config());
  StartCrashingTargets(1, kStreamHead);
  SendRequest(Request("stream"));
  const Time lost_at = clock_->Now();
  // The relay reports to peers that start after it.
  constexpr Duration kStartedPeerTime = std::chrono::milliseconds(6'200);
  ASSERT_TRUE(
      RunUntil([&] { return clock_->Now() - lost_at > kStartedPeerTime; }));
  std::size_t losses = 0;
  const Address address = FreeUdpAddress();
  const std::unique_ptr<PeerLink> peer = PeerLink::Open(
      loop_.get(), clock_.get(), address, [&losses](const PeerState& state) {
        losses += state.losses.has_value() ? state.losses->losses.size() : 0;
      });
  relay_->SetMembers({{address.ToString(), "127.0.0.1:1", "d"}});
  PeerState first;
  first.incarnation = 1;
  first.sequence = 1;
  first.link = address.ToString();
  peer->Send(first, {relay_->SelfRecord().link});
  const Time started_at = clock_->Now();
  ASSERT_TRUE(RunUntil([&losses] { return losses > 0; }));
  EXPECT_LT(clock_->Now() - started_at, std::chrono::seconds(1));
}

}  // namespace
}  // namespace hornbeamcleat
