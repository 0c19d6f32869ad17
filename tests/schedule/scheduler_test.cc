#include "hornbeamcleat/schedule/scheduler.h"

#include "tests/schedule/scheduler_fixture.h"

namespace hornbeamcleat {
namespace {

class SchedulerTest : public SchedulerFixture {};

TEST_F(SchedulerTest, SubmitIdleTargetsDispatches) {
  const std::vector<DispatchAction> sent = All<DispatchAction>(Submit("a"));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].version, "v1");
  EXPECT_EQ(sent[0].remaining, std::chrono::seconds(60));
}

TEST_F(SchedulerTest, SubmitUnknownNamesAreRefusedWithReason) {
  EXPECT_EQ(Refusal(Submit("a", "nobody")), "not_run unknown_workspace");
  EXPECT_EQ(Refusal(Submit("a", "gold", "no")), "not_run unknown_application");
  EXPECT_EQ(Refusal(scheduler_->Submit(Spec("a", "gold", "pay"), now_)),
            "not_run bad_request");
  EXPECT_EQ(scheduler_->Open(), 0);
}

TEST_F(SchedulerTest, SubmitWithoutConfigurationIsNotReady) {
  scheduler_ = Scheduler::Make(SchedulerOptions{});
  EXPECT_EQ(Refusal(Submit("a")), "not_run not_ready");
}

TEST_F(SchedulerTest, SubmitWhileDrainingIsRefusedAndOpenWorkGoesOn) {
  Run("a");
  scheduler_->Drain();
  EXPECT_EQ(Refusal(Submit("b")), "not_run draining");
  EXPECT_TRUE(Send(AnswerDone{"a", 3, 0}).empty());
  EXPECT_EQ(scheduler_->Open(), 0);
}

TEST_F(SchedulerTest, SubmitSameOpenIdIsRefused) {
  Run("a");
  EXPECT_EQ(Refusal(Submit("a")), "not_run bad_request");
  EXPECT_EQ(scheduler_->Open(), 1);
}

TEST_F(SchedulerTest, NotIdempotentIntentComesBeforeDispatch) {
  const Actions first = Submit("p", "gold", "pay");
  ASSERT_EQ(All<RecordIntentAction>(first).size(), 1U);
  EXPECT_TRUE(All<DispatchAction>(first).empty());
  const Actions won = Send(IntentDecided{"p", IntentResult::kWon});
  EXPECT_EQ(All<DispatchAction>(won).size(), 1U);
}

TEST_F(SchedulerTest, NotIdempotentIntentNotWonNeverDispatches) {
  Submit("p", "gold", "pay");
  EXPECT_EQ(Refusal(Send(IntentDecided{"p", IntentResult::kLost})),
            "unknown duplicate");
  Submit("q", "gold", "pay");
  EXPECT_EQ(Refusal(Send(IntentDecided{"q", IntentResult::kUnavailable})),
            "not_run log_unavailable");
  Submit("r", "gold", "pay");
  EXPECT_EQ(Refusal(Send(IntentDecided{"r", IntentResult::kExpired})),
            "unknown key_expired");
}

TEST_F(SchedulerTest, TargetNotRunBeforeSendingRetriesElsewhere) {
  const std::vector<DispatchAction> first = All<DispatchAction>(Submit("a"));
  const std::vector<DispatchAction> second =
      All<DispatchAction>(Send(TargetNotRun{"a", false, Duration(0)}));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].target, first[0].target);
}

TEST_F(SchedulerTest, TargetNotRunAfterSendingNotReportedByTargetOnlyResumes) {
  Run("a");
  const Actions actions = Send(TargetNotRun{"a", false, Duration(0)});
  EXPECT_TRUE(All<DispatchAction>(actions).empty());
  EXPECT_EQ(All<ResumeAction>(actions).size(), 1U);
}

TEST_F(SchedulerTest, TargetNotRunTooOftenIsRefusedAsNotRun) {
  Actions all = Submit("a");
  for (int i = 0; i < SchedulerOptions{}.max_attempts; ++i) {
    all = Send(TargetNotRun{"a", true, Duration(0)});
    if (All<RefuseAction>(all).empty() && All<DispatchAction>(all).empty()) {
      EXPECT_EQ(All<DispatchAction>(Elapse(200)).size(), 1U);
    }
  }
  EXPECT_EQ(Refusal(all), "not_run target_refused");
}

// Two requests at one target are turned away, the second one without a time.
TEST_F(SchedulerTest, LaterRefusalDoesNotShortenPauseOfTarget) {
  std::map<TargetName, std::vector<RequestId>> sent;
  for (const char* id : {"a", "b", "c"}) {
    for (const DispatchAction& dispatch : All<DispatchAction>(Submit(id))) {
      sent[dispatch.target].push_back(id);
    }
  }
  const auto paused =
      std::find_if(sent.begin(), sent.end(),
                   [](const auto& item) { return item.second.size() > 1; });
  ASSERT_NE(paused, sent.end());
  Send(TargetNotRun{paused->second[0], true, std::chrono::seconds(10)});
  Send(TargetNotRun{paused->second[1], true, Duration(0)});
  std::vector<DispatchAction> later = All<DispatchAction>(Elapse(1'000));
  for (const char* id : {"d", "e", "f"}) {
    for (const DispatchAction& dispatch : All<DispatchAction>(Submit(id))) {
      later.push_back(dispatch);
    }
  }
  EXPECT_FALSE(later.empty());
  for (const DispatchAction& dispatch : later) {
    EXPECT_NE(dispatch.target, paused->first);
  }
}

TEST_F(SchedulerTest, ConnectionLostResumesAndNeverRunsAgain) {
  Run("a");
  const Actions lost = Send(ConnectionLost{"a"});
  EXPECT_EQ(All<ResumeAction>(lost).size(), 1U);
  EXPECT_TRUE(All<DispatchAction>(lost).empty());
  const Actions failed = Send(ResumeFailed{"a", false});
  EXPECT_EQ(Refusal(failed), "unknown target_lost");
  EXPECT_TRUE(All<DispatchAction>(failed).empty());
}

TEST_F(SchedulerTest, StallResumesOnSecondConnection) {
  Run("a");
  Send(PartsReceived{"a", 1});
  EXPECT_EQ(All<ResumeAction>(Elapse(2'500)).size(), 1U);
  EXPECT_TRUE(Send(Resumed{"a"}).empty());
  EXPECT_TRUE(Send(AnswerDone{"a", 9, 0}).empty());
  EXPECT_EQ(scheduler_->Open(), 0);
}

TEST_F(SchedulerTest, CallerGoneInFlightCancelsOnce) {
  Run("a");
  const Actions gone = Send(CallerGone{"a"});
  EXPECT_EQ(All<CancelAction>(gone).size(), 1U);
  EXPECT_EQ(Refusal(gone), "unknown caller_gone");
  EXPECT_TRUE(Send(CallerGone{"a"}).empty());
}

TEST_F(SchedulerTest, SentWithoutPartsAtDeadlineIsUnknown) {
  Run("a");
  const Actions all = Elapse(61'000);
  EXPECT_EQ(Refusal(all), "unknown deadline");
  EXPECT_EQ(All<CancelAction>(all).size(), 1U);
}

TEST_F(SchedulerTest, LateAnswerWithProgressIsNotCancelled) {
  Run("a");
  Send(PartsReceived{"a", 1});
  for (int i = 2; i < 63; ++i) {
    Advance(1'000);
    EXPECT_TRUE(
        Send(PartsReceived{"a", static_cast<std::uint32_t>(i)}).empty());
  }
  EXPECT_EQ(scheduler_->Open(), 1);
}

TEST_F(SchedulerTest, LeavingOrWithdrawnTargetsGetNothing) {
  view_.leaving = {"e0"};
  view_.withdrawn = {{"m", "v2"}};
  AddTarget("e2", "m", "v2");
  Apply();
  for (int i = 0; i < 6; ++i) {
    for (const DispatchAction& sent :
         All<DispatchAction>(Submit("a" + std::to_string(i)))) {
      EXPECT_EQ(sent.target, "e1");
    }
  }
  view_.leaving = {"e0", "e1"};
  Apply();
  EXPECT_EQ(Refusal(Submit("z")), "not_run no_target");
}

TEST_F(SchedulerTest, MoveWithoutShareSendsNothingToNewVersion) {
  AddTarget("e2", "m", "v2");
  Put("move", MoveSpec{"m", "v1", "v2", WallTime(), Duration(0), {}, 0.1, 1.2});
  Apply();
  for (int i = 0; i < 12; ++i) {
    for (const DispatchAction& sent :
         All<DispatchAction>(Submit("a" + std::to_string(i)))) {
      EXPECT_EQ(sent.version, "v1");
    }
  }
}

TEST_F(SchedulerTest, EveryRequestHasExactlyOneEnd) {
  Run("a");
  Submit("b", "bronze");
  Send(AnswerDone{"a", 2, 0});
  EXPECT_TRUE(Send(TargetFailed{"a"}).empty());
  EXPECT_EQ(Refusal(Send(TargetFailed{"b"})), "failed target_failed");
  EXPECT_TRUE(Send(AnswerDone{"b", 2, 0}).empty());
  EXPECT_TRUE(Elapse(70'000).empty());
  EXPECT_EQ(scheduler_->Open(), 0);
}

}  // namespace
}  // namespace hornbeamcleat
