#include <algorithm>
#include <map>
#include <set>

#include "hornbeamcleat/base/hash.h"
#include "src/schedule/latency_limit.h"
#include "src/schedule/prefix_index.h"
#include "src/schedule/retry_pacer.h"
#include "src/schedule/target_table.h"
#include "tests/schedule/scheduler_fixture.h"

namespace hornbeamcleat {
namespace {

class TargetChoiceTest : public SchedulerFixture {
 protected:
  /// Ends a dispatched request with a lost connection and a failed resume.
  void Crash(const std::string& id) {
    Send(RequestSent{id});
    Send(ConnectionLost{id});
    Send(ResumeFailed{id, false});
  }

  TargetName TargetOf(const Actions& actions) const {
    const std::vector<DispatchAction> sent = All<DispatchAction>(actions);
    return sent.empty() ? "" : sent[0].target;
  }

  Actions SubmitContent(const std::string& id, int content) {
    RequestSpec spec = Spec(id);
    spec.properties = {Content(std::to_string(content))};
    return scheduler_->Submit(spec, now_);
  }

  /// Report of a peer that lost one target with each of some contents.
  static SequencedLosses PeerLosses(const std::vector<int>& contents) {
    SequencedLosses losses;
    losses.sequence = 1;
    for (const int content : contents) {
      PropertyLoss& loss = losses.report.losses.emplace_back();
      loss.property = Content(std::to_string(content));
      loss.runs = {{Hash32("lost by the peer"), 0, 100, 0, 0}};
    }
    return losses;
  }

  /// Targets that this entry reports as lost with a content.
  std::size_t LossesOf(int content) {
    Advance(0);
    for (const PropertyLoss& loss :
         scheduler_->Facts(now_).losses.report.losses) {
      if (loss.property == Content(std::to_string(content))) {
        return loss.runs.size();
      }
    }
    return 0;
  }
};

TEST_F(TargetChoiceTest, PoisonIsRefusedAfterLimitOfDistinctTargets) {
  AddTarget("e2", "m");
  Apply();
  std::set<TargetName> lost;
  for (int i = 0; i < SchedulerOptions{}.poison_limit; ++i) {
    const std::string id = "p" + std::to_string(i);
    lost.insert(TargetOf(SubmitContent(id, 666)));
    Crash(id);
  }
  EXPECT_EQ(lost.size(), 2U);
  EXPECT_EQ(Refusal(SubmitContent("again", 666)), "not_run poison");
  EXPECT_EQ(Refusal(SubmitContent("other", 1)), "none");
  EXPECT_EQ(LossesOf(666), 2U);
  now_ += SchedulerOptions{}.poison_expiry;
  EXPECT_EQ(Refusal(SubmitContent("later", 666)), "none");
}

TEST_F(TargetChoiceTest, PoisonReportedByPeersIsCounted) {
  view_.peer_losses = {{"peer", PeerLosses({666})}};
  Apply();
  SubmitContent("p", 666);
  Crash("p");
  EXPECT_EQ(Refusal(SubmitContent("again", 666)), "not_run poison");
}

TEST_F(TargetChoiceTest, SuspectsNeverShareATarget) {
  view_.peer_losses = {{"peer", PeerLosses({1, 2, 3})}};
  Apply();
  const TargetName first = TargetOf(SubmitContent("a", 1));
  const TargetName second = TargetOf(SubmitContent("b", 2));
  EXPECT_NE(first, second);
  EXPECT_EQ(TargetOf(SubmitContent("c", 3)), "");
}

TEST_F(TargetChoiceTest, SilentTargetIsNotCountedAsCrash) {
  SubmitContent("a", 5);
  Send(RequestSent{"a"});
  const Actions stalled = Elapse(3'000);
  ASSERT_EQ(All<ResumeAction>(stalled).size(), 1U);
  Send(ResumeFailed{"a", false});
  EXPECT_EQ(LossesOf(5), 0U);
  EXPECT_TRUE(scheduler_->Facts(now_).losses.report.losses.empty());
}

TEST_F(TargetChoiceTest, EjectionNeverEmptiesThePool) {
  for (int i = 0; i < 30; ++i) {
    const std::string id = "f" + std::to_string(i);
    EXPECT_EQ(Refusal(SubmitContent(id, 1'000 + i)), "none") << i;
    Send(RequestSent{id});
    Send(TargetFailed{id});
  }
}

TEST_F(TargetChoiceTest, FailingTargetIsEjectedAndRestored) {
  AddTarget("e2", "m");
  Apply();
  std::map<TargetName, int> sent;
  const auto run = [&](int i) {
    const std::string id = "f" + std::to_string(i);
    const TargetName target = TargetOf(SubmitContent(id, 1'000 + i));
    ++sent[target];
    Send(RequestSent{id});
    Advance(200);
    Send(PartsReceived{id, 1});
    Advance(200);
    target == "e0" ? Send(TargetFailed{id}) : Send(AnswerDone{id, 10, 0});
  };
  for (int i = 0; sent["e0"] < 3 && i < 100; ++i) {
    run(i);
  }
  const int before = sent["e0"];
  for (int i = 100; i < 110; ++i) {
    run(i);
  }
  EXPECT_EQ(sent["e0"], before);
  Elapse(5'100);
  for (int i = 200; i < 300; ++i) {
    run(i);
  }
  EXPECT_GT(sent["e0"], before);
}

TEST_F(TargetChoiceTest, RetriesStayWithinBudget) {
  int dispatches = 0;
  constexpr int kRequests = 400;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    Actions actions = Submit(id);
    while (All<RefuseAction>(actions).empty()) {
      if (All<DispatchAction>(actions).empty()) {
        actions = Elapse(150);
      }
      ++dispatches;
      actions = Send(TargetNotRun{id, true, Duration(0)});
    }
  }
  EXPECT_GE(dispatches, kRequests);
  EXPECT_LE(dispatches, kRequests + 100 + kRequests / 10);
}

TEST_F(TargetChoiceTest, RetryDelaysOfRefusedCallersAreSpread) {
  view_.peer_closed_rank = {{"m", 2}};
  Apply();
  std::set<Duration> times;
  for (int i = 0; i < 50; ++i) {
    const std::vector<RefuseAction> refusals =
        All<RefuseAction>(Submit("b" + std::to_string(i), "bronze"));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_GE(refusals[0].retry_after, RetryPacer::kMinDelay);
    EXPECT_LE(refusals[0].retry_after, RetryPacer::kMaxDelay);
    times.insert(refusals[0].retry_after);
  }
  EXPECT_GE(times.size(), 45U);
}

TEST_F(TargetChoiceTest, CreditsOfAllEntriesStayNearTheLimit) {
  view_.entry_count = 7;
  int total = 0;
  for (int i = 0; i < view_.entry_count; ++i) {
    view_.entry_index = i;
    Restart(SchedulerOptions{});
    for (int n = 0; n < 40; ++n) {
      total += static_cast<int>(
          All<DispatchAction>(Submit("a" + std::to_string(n))).size());
    }
  }
  EXPECT_GE(total, 2 * LatencyLimit::kInitialLimit - 2);
  EXPECT_LE(total, 2 * LatencyLimit::kInitialLimit + 2);
}

TEST_F(TargetChoiceTest, CapOnNewVersionSendsRestToOldVersion) {
  AddTarget("n0", "m", "v2");
  view_.shares["m"] = VersionShare{"m", "v1", "v2", 1'000, 2};
  Apply();
  std::map<std::string, int> by_version;
  for (int i = 0; i < 10; ++i) {
    for (const DispatchAction& sent :
         All<DispatchAction>(Submit("a" + std::to_string(i)))) {
      ++by_version[sent.version];
    }
  }
  EXPECT_EQ(by_version["v2"], 2);
  EXPECT_EQ(by_version["v1"], 8);
}

TEST_F(TargetChoiceTest, WorkspacesShareByWeightAndBorrowIdleCapacity) {
  Put("big", WorkspaceSpec{"gold", 1, {{"chat", "m"}}});
  Put("small", WorkspaceSpec{"gold", 1, {{"chat", "m"}}});
  Apply();
  for (int i = 0; i < 60; ++i) {
    Submit("big" + std::to_string(i), "big");
  }
  for (int i = 0; i < 4; ++i) {
    Submit("small" + std::to_string(i), "small");
  }
  // "big" held all credits while it was alone; now the two alternate.
  std::vector<RequestId> running;
  for (int i = 0; i < 8; ++i) {
    for (const DispatchAction& sent : All<DispatchAction>(
             Send(AnswerDone{"big" + std::to_string(i), 10, 0}))) {
      running.push_back(sent.id);
    }
  }
  EXPECT_EQ(std::count_if(running.begin(), running.end(),
                          [](const RequestId& id) { return id[0] == 's'; }),
            4);
}

TEST_F(TargetChoiceTest, ExplainNamesVersionAndReason) {
  Run("a");
  EXPECT_NE(scheduler_->Explain("a").find("with version v1"),
            std::string::npos);
  Send(TargetFailed{"a"});
  EXPECT_NE(scheduler_->Explain("a").find("failed because of target_failed"),
            std::string::npos);
  EXPECT_EQ(scheduler_->Explain("nobody"), "");
}

TEST_F(TargetChoiceTest, EvidenceCountsByVersionAndRoute) {
  Run("a");
  now_ += std::chrono::milliseconds(500);
  Send(PartsReceived{"a", 1});
  Send(AnswerDone{"a", 5, 0});
  Run("b", "bronze");
  Send(TargetFailed{"b"});
  std::uint64_t done = 0;
  std::uint64_t faults = 0;
  for (const VersionEvidence& entry : scheduler_->Evidence()) {
    EXPECT_EQ(entry.version, "v1");
    done += entry.done;
    faults += entry.faults;
    if (entry.workspace == "gold") {
      EXPECT_DOUBLE_EQ(entry.first_part_sum, 0.5);
    }
  }
  EXPECT_EQ(done, 1U);
  EXPECT_EQ(faults, 1U);
}

class PrefixIndexTest : public testing::Test {
 protected:
  const SchedulerOptions options_{};
  const TargetState one_{"one", options_};
  const TargetState two_{"two", options_};
  PrefixIndex index_;
};

TEST_F(PrefixIndexTest, FindGivesDepthOfCommonPrefix) {
  index_.OnDispatch(&one_, {1, 2, 3, 4});
  index_.OnDispatch(&two_, {1, 2, 30, 40});
  const PrefixIndex::Match match = index_.Find({1, 2, 3, 4, 5, 6});
  EXPECT_EQ(match.Blocks(&one_), 4U);
  EXPECT_LE(match.Blocks(&two_), 2U);
  EXPECT_EQ(index_.Find({7, 8}).Blocks(&one_), 0U);
}

TEST_F(PrefixIndexTest, GapHalvesDepthInsteadOfClearing) {
  index_.OnEvents(&one_, {{1, true, 1}, {2, true, 2}, {9, true, 3}});
  EXPECT_EQ(index_.Find({1, 2, 3}).Blocks(&one_), 1U);
  index_.OnEvents(&one_, {{10, false, 3}});
  EXPECT_GT(index_.Find({1, 2}).Blocks(&one_), 0U);
}

TEST_F(PrefixIndexTest, IndexStaysBounded) {
  for (std::uint64_t i = 0; i < PrefixIndex::kMaxBlocks + 1'000; ++i) {
    index_.OnDispatch(&one_, {i});
  }
  EXPECT_LE(index_.Blocks(), PrefixIndex::kMaxBlocks);
  index_.RemoveTarget(&one_);
  EXPECT_EQ(index_.Blocks(), 0U);
}

class LatencyLimitTest : public testing::Test {
 protected:
  /// Runs `seconds` periods of 1 s with the gap that `gap` returns for the
  /// limit.
  template <typename F>
  void Periods(int seconds, F gap) {
    for (int i = 0; i < seconds; ++i) {
      limit_.OnGap(gap(limit_.Limit()), 50);
      now_ += std::chrono::seconds(1);
      limit_.Update(true, now_);
    }
  }

  Time now_ = Time(std::chrono::seconds(1'000));
  LatencyLimit limit_{std::chrono::milliseconds(740),
                      std::chrono::milliseconds(73)};
};

TEST_F(LatencyLimitTest, LimitSettlesWhereGapMeetsItsTarget) {
  const auto gap = [](double n) { return 0.015 * (1 + n / 8); };
  Periods(120, gap);
  EXPECT_LE(gap(limit_.Limit()), 0.073);
  EXPECT_GE(gap(limit_.Limit()), 0.055);
}

TEST_F(LatencyLimitTest, SlowedTargetShrinksWithinSeconds) {
  Periods(120, [](double n) { return 0.015 * (1 + n / 8); });
  const double before = limit_.Limit();
  Periods(10, [](double n) { return 0.075 * (1 + n / 8); });
  EXPECT_LT(limit_.Limit(), before / 4);
}

}  // namespace
}  // namespace hornbeamcleat
