#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "src/control/loss_facts.h"
#include "src/entry/submission.h"
#include "tests/schedule/scheduler_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr int kTargets = 10;
constexpr int kRequests = 40;
/// Lost targets after which requests with a property must be refused.
constexpr int kMaxCrashes = 5;
constexpr int kStepMs = 200;
/// Longer than the time from the last loss to the first trial.
constexpr int kFirstTrialMs = 6'000;

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

  // Deadly requests have the second message in common.
  End RunDeadly() {
    return Run({"common", "bad", fmt::format("own {}", requests_)}, true);
  }

  End RunSound() {
    return Run({"common", "good", fmt::format("own {}", requests_)}, false);
  }

  void RefuseDeadly() {
    for (int i = 0; i < kMaxCrashes; ++i) {
      RunDeadly();
      RunSound();
    }
    ASSERT_EQ(RunDeadly(), End::kRefused);
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

TEST_F(CrashingRequestTest, RequestsAreRefusedWhicheverEntriesLostTargets) {
  constexpr int kEntries = 4;
  std::vector<std::unique_ptr<Scheduler>> entries;
  entries.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back(Scheduler::Make(SchedulerOptions{}));
  }
  view_.entry_count = kEntries;
  int crashes = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto self = static_cast<std::size_t>(i % kEntries);
    scheduler_.swap(entries[self]);
    view_.entry_index = static_cast<int>(self);
    view_.peer_losses.clear();
    for (std::size_t peer = 0; peer < entries.size(); ++peer) {
      if (peer != self) {
        const std::string vm = fmt::format("vm-{}", peer);
        LossAssembler assembler;
        for (const std::string& chunk :
             LossChunks(entries[peer]->Facts(now_).losses)) {
          assembler.Add(vm, chunk);
        }
        view_.peer_losses.insert(assembler.Losses().begin(),
                                 assembler.Losses().end());
      }
    }
    Apply();
    crashes += RunDeadly() == End::kCrashed ? 1 : 0;
    EXPECT_TRUE(RunSound() == End::kAnswered || i < kMaxCrashes) << i;
    scheduler_.swap(entries[self]);
  }
  EXPECT_LE(crashes, kMaxCrashes);
}

// A report is split into several datagrams.
TEST_F(CrashingRequestTest, PartsOfPeersReportAreMergedAsTheyArrive) {
  SequencedLosses report;
  report.sequence = 1;
  view_.peer_losses["peer"] = report;
  Apply();
  PropertyLoss& loss = report.report.losses.emplace_back();
  loss.property = {PropertyKind::kPart, "bad"};
  loss.runs = {{1, 1'000, 200, 1, 0}, {2, 100, 200, 2, 0}};
  view_.peer_losses["peer"] = report;
  Apply();
  EXPECT_EQ(RunDeadly(), End::kRefused);
}

TEST_F(CrashingRequestTest, RefusedPartIsServedAgainAfterAnsweredTrial) {
  RefuseDeadly();
  Elapse(kFirstTrialMs);
  EXPECT_EQ(Run({"common", "bad", "mended"}, false), End::kAnswered);
  EXPECT_EQ(Run({"common", "bad", "another"}, false), End::kAnswered);
}

TEST_F(CrashingRequestTest, RefusedPartIsTriedAtMostThreeTimesInTenMinutes) {
  RefuseDeadly();
  int trials = 0;
  for (int second = 0; second < 600; ++second) {
    trials += RunDeadly() == End::kCrashed ? 1 : 0;
    Elapse(1'000 - kStepMs);
  }
  EXPECT_GE(trials, 1);
  EXPECT_LE(trials, 3);
}

// Losses are not kept when all entries stop at once.
TEST_F(CrashingRequestTest, RestartedEntriesRefuseAgainWithinThreeLosses) {
  RefuseDeadly();
  Restart(SchedulerOptions{});
  int crashes = 0;
  const Time first_trial =
      now_ + std::chrono::milliseconds(kFirstTrialMs - 1'000);
  while (now_ < first_trial) {
    crashes += RunDeadly() == End::kCrashed ? 1 : 0;
    RunSound();
  }
  EXPECT_LE(crashes, 3);
}

TEST_F(CrashingRequestTest, RefusalTellsWhenToComeBack) {
  RefuseDeadly();
  const std::vector<RefuseAction> refusals = All<RefuseAction>(
      scheduler_->Submit(Read("late", {"common", "bad", "x"}), now_));
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].outcome, Outcome::kNotRun);
  EXPECT_GT(refusals[0].retry_after, Duration(0));
}

TEST_F(CrashingRequestTest, DeadlyRequestsAtOtherTargetsAreWithdrawn) {
  RunSound();
  scheduler_->Submit(Read("waits", {"common", "bad", "waits"}), now_);
  Send(RequestSent{"waits"});
  Actions all;
  for (int i = 0; i < kMaxCrashes && All<CancelAction>(all).empty(); ++i) {
    const std::string id = fmt::format("r{}", ++requests_);
    scheduler_->Submit(Read(id, {"common", "bad", id}), now_);
    Send(RequestSent{id});
    Advance(kStepMs);
    Send(ConnectionLost{id});
    all = Send(ResumeFailed{id, false});
  }
  ASSERT_EQ(All<CancelAction>(all).size(), 1U);
  EXPECT_EQ(All<CancelAction>(all)[0].id, "waits");
}

TEST_F(CrashingRequestTest, LossesThatRefusedPartExplainDontCountForVersion) {
  RefuseDeadly();
  std::uint64_t faults = 0;
  std::uint64_t excluded = 0;
  for (const VersionEvidence& evidence : scheduler_->Evidence()) {
    faults += evidence.faults;
    excluded += evidence.excluded;
  }
  EXPECT_GE(excluded, 1U);
  EXPECT_LT(faults, static_cast<std::uint64_t>(kMaxCrashes));
}

}  // namespace
}  // namespace hornbeamcleat
