#include "src/serving/loss_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kLimit = 2;
constexpr Duration kRefusalTime = seconds(30);
constexpr Duration kFirstTrialTime = kRefusalTime / 6;
constexpr Duration kRepeatTime = seconds(6);
constexpr std::uint64_t kContent = 7;

RequestProperty Content(std::uint64_t number) {
  return {PropertyKind::kContent, std::to_string(number)};
}

/// Table of requests that have nothing but a content, by its number.
class ContentTable : public LossTable {
 public:
  using LossTable::LossTable;

  void OnTargetLost(std::uint64_t content, std::string_view target, Time now) {
    LossTable::OnTargetLost(TargetRun::Make({Content(content)}, target, now),
                            now);
  }
  void OnTargetAnswered(std::string_view target, Time sent_at, Time now) {
    LossTable::OnTargetAnswered(Hash32(target), sent_at, now);
  }
  void OnAnswered(std::uint64_t content, Time now) {
    LossTable::OnAnswered({{Content(content)}, 0, now}, now, now);
  }
  void OnUnprovenAnswer(std::uint64_t content, std::string_view target,
                        Time now) {
    LossTable::OnUnprovenAnswer(
        TargetRun::Make({Content(content)}, target, now), now, now);
  }
  bool TakeTrial(std::uint64_t content, Duration delay, Time now) {
    return IsRefused(content) &&
           LossTable::TakeTrial(
               {Content(content)}, [delay](std::uint64_t) { return delay; },
               now);
  }
  int Losses(std::uint64_t content) const {
    return LossTable::Losses(Content(content));
  }
  bool IsRefused(std::uint64_t content) const {
    return LossTable::IsRefused(Content(content));
  }
  bool IsSuspect(std::uint64_t content, Time now) const {
    return FindSuspect({Content(content)}, now) != nullptr;
  }
  Duration TimeToTrial(std::uint64_t content, Time now) const {
    return LossTable::TimeToTrial({Content(content)}, now);
  }
};

/// Two VMs that exchange reports.
class LossTableContentTest : public testing::Test {
 protected:
  LossTableContentTest()
      : table_({kLimit, kRefusalTime}), peer_({kLimit, kRefusalTime}) {}

  void Report(const ContentTable& from, ContentTable* to,
              bool is_complete = false) {
    to->OnPeerReport(is_complete ? from.CompleteReport(now_)
                                 : from.ChangesSince(now_ - kRepeatTime, now_),
                     now_);
  }

  Time now_ = Time(seconds(1'000));
  ContentTable table_;
  ContentTable peer_;
};

TEST_F(LossTableContentTest, ContentIsRefusedAtLimitOfDifferentIncarnations) {
  table_.OnTargetLost(kContent, "a/1", now_);
  EXPECT_FALSE(table_.IsRefused(kContent));
  table_.OnTargetLost(kContent, "a/1", now_);
  EXPECT_FALSE(table_.IsRefused(kContent));
  table_.OnTargetLost(kContent, "a/2", now_);
  EXPECT_TRUE(table_.IsRefused(kContent));
  EXPECT_FALSE(table_.IsRefused(kContent + 1));
  EXPECT_EQ(table_.TakeNewlyRefused().size(), 1U);
  EXPECT_TRUE(table_.TakeNewlyRefused().empty());
}

// The same content can run at one target through several VMs.
TEST_F(LossTableContentTest, TargetLostAtTwoVmsCountsOnce) {
  table_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent, "a/1", now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 1);
  EXPECT_FALSE(table_.IsRefused(kContent));
}

TEST_F(LossTableContentTest, DifferentTargetsLostAtTwoVmsAddUp) {
  table_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent, "b/1", now_);
  Report(peer_, &table_);
  EXPECT_TRUE(table_.IsRefused(kContent));
  EXPECT_EQ(table_.TakeNewlyRefused().size(), 1U);
}

TEST_F(LossTableContentTest, LossesOutliveTheVmThatSawThem) {
  peer_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent, "b/1", now_);
  Report(peer_, &table_);
  ContentTable restarted({2, kRefusalTime});
  Report(table_, &restarted);
  EXPECT_FALSE(restarted.IsRefused(kContent));
  Report(table_, &restarted, true);
  EXPECT_TRUE(restarted.IsRefused(kContent));
}

TEST_F(LossTableContentTest, OneRequestTriesRefusedContentAfterSomeTime) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  Report(table_, &peer_);
  now_ += kFirstTrialTime - milliseconds(1);
  EXPECT_FALSE(table_.TakeTrial(kContent, Duration(0), now_));
  EXPECT_EQ(table_.TimeToTrial(kContent, now_), milliseconds(1));
  now_ += milliseconds(1);
  EXPECT_TRUE(peer_.TakeTrial(kContent, Duration(0), now_));
  EXPECT_FALSE(peer_.TakeTrial(kContent, Duration(0), now_));
  Report(peer_, &table_);
  now_ += kFirstTrialTime - milliseconds(1);
  EXPECT_FALSE(table_.TakeTrial(kContent, Duration(0), now_));
  EXPECT_TRUE(table_.IsRefused(kContent));
  now_ += milliseconds(50);
  peer_.OnAnswered(kContent, now_);
  Report(peer_, &table_);
  EXPECT_FALSE(table_.IsRefused(kContent));
}

// Each report goes to hundreds of VMs, so that old losses would add up.
TEST_F(LossTableContentTest, OldChangesAreReportedToStartedPeersOnly) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent + 1, "a/1", now_);
  table_.OnAnswered(kContent + 1, now_);
  const Time changed = now_;
  EXPECT_EQ(table_.ChangesSince(changed, now_).losses.size(), 1U);
  EXPECT_EQ(table_.ChangesSince(changed, now_).answers.size(), 1U);
  now_ += seconds(10);
  EXPECT_EQ(table_.ChangesSince(changed, now_).losses.size(), 1U);
  EXPECT_EQ(table_.ChangesSince(changed + milliseconds(1), now_), LossReport());
  EXPECT_EQ(table_.CompleteReport(now_).losses.size(), 1U);
  EXPECT_EQ(table_.CompleteReport(now_).answers.size(), 1U);
}

// All VMs repeated what they had heard from each other.
TEST_F(LossTableContentTest, ChangesHeardFromPeersAreNotReportedAgain) {
  peer_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent + 1, "b/1", now_);
  Report(peer_, &table_);
  now_ += milliseconds(1);
  const Time second = now_;
  peer_.OnAnswered(kContent + 1, now_);
  peer_.OnTargetLost(kContent + 2, "c/1", now_);
  peer_.OnTargetAnswered("c/1", now_, now_);
  const LossReport report = peer_.ChangesSince(second, now_);
  EXPECT_TRUE(report.losses.empty());
  EXPECT_EQ(report.answers.size(), 1U);
  EXPECT_EQ(report.alive.size(), 1U);
  table_.OnPeerReport(report, now_);
  EXPECT_EQ(table_.ChangesSince(now_ - kRepeatTime, now_), LossReport());
  const LossReport complete = table_.CompleteReport(now_);
  EXPECT_EQ(complete.losses.size(), 1U);
  EXPECT_EQ(complete.answers.size(), 1U);
  EXPECT_EQ(complete.alive.size(), 1U);
}

// A trial can end with its caller, or with an answer that proves nothing.
TEST_F(LossTableContentTest, TrialWithoutResultDoesNotLengthenRefusal) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  for (int i = 0; i < 3; ++i) {
    now_ += kFirstTrialTime;
    EXPECT_TRUE(table_.TakeTrial(kContent, Duration(0), now_)) << i;
  }
  table_.OnTargetLost(kContent, "c/1", now_);
  now_ += kFirstTrialTime;
  EXPECT_FALSE(table_.TakeTrial(kContent, Duration(0), now_));
}

// The stated bound: three sends later than 3 s after the third lost target.
TEST_F(LossTableContentTest, ContentThatIsAlwaysRequestedHasFewTrials) {
  table_.OnTargetLost(kContent, "t0/1", now_);
  table_.OnTargetLost(kContent, "t1/1", now_);
  table_.OnTargetLost(kContent, "t2/1", now_);
  int trials = 0;
  for (int i = 1; i <= 3'600; ++i) {
    now_ += seconds(1);
    table_.Expire(now_);
    ASSERT_TRUE(table_.IsRefused(kContent)) << i;
    if (table_.TakeTrial(kContent, Duration(0), now_)) {
      ++trials;
      table_.OnTargetLost(kContent, "t" + std::to_string(trials + 2), now_);
    }
    EXPECT_LE(trials, i < 200 ? 3 : 8) << i;
  }
}

// Callers that were refused together came back together, to any VM, and each VM
// let one of them through: four sends within a millisecond.
TEST_F(LossTableContentTest, TrialThatIsDueAtManyVmsIsTakenByFew) {
  constexpr int kVms = 84;
  constexpr int kCallers = 24;
  constexpr std::int64_t kRetrySpreadMs = 3'000;
  constexpr Duration kReportTime = milliseconds(80);
  constexpr Duration kStep = milliseconds(250);
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    std::vector<ContentTable> tables(kVms,
                                     ContentTable({kLimit, kRefusalTime}));
    for (ContentTable& table : tables) {
      table.OnTargetLost(kContent, "a/1", now_);
      table.OnTargetLost(kContent, "b/1", now_);
      table.OnTargetLost(kContent, "c/1", now_);
    }
    const Time due = now_ + kFirstTrialTime;
    std::vector<Time> arrivals;
    arrivals.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      arrivals.push_back(
          due +
          milliseconds(static_cast<std::int64_t>(random()) % kRetrySpreadMs));
    }
    std::sort(arrivals.begin(), arrivals.end());
    std::vector<std::pair<Time, LossReport>> reports;
    for (const Time at : arrivals) {
      for (const auto& [heard_at, report] : reports) {
        if (heard_at <= at) {
          for (ContentTable& table : tables) {
            table.OnPeerReport(report, heard_at);
          }
        }
      }
      const std::size_t vm = random() % kVms;
      // The number of a VM stands for its rank.
      if (tables[vm].TakeTrial(kContent, kStep * static_cast<int>(vm), at)) {
        reports.emplace_back(at + kReportTime, tables[vm].ChangesSince(at, at));
      }
    }
    // The stated bound: three sends after the third lost target.
    EXPECT_LE(reports.size(), 3U) << "seed " << seed;
  }
}

TEST_F(LossTableContentTest, UnprovenAnswerClearsOnceTargetAnswersAgain) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnUnprovenAnswer(kContent, "b/1", now_);
  EXPECT_EQ(table_.Losses(kContent), 1);
  table_.OnTargetAnswered("c/1", now_ + milliseconds(10), now_);
  EXPECT_EQ(table_.Losses(kContent), 1);
  table_.OnTargetAnswered("b/1", now_ + milliseconds(10), now_);
  EXPECT_EQ(table_.Losses(kContent), 0);
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnUnprovenAnswer(kContent, "b/1", now_);
  table_.OnTargetAnswered("b/1", now_ + seconds(2), now_);
  EXPECT_EQ(table_.Losses(kContent), 1);
}

// Two contents ran at the same two targets when these ended.
TEST_F(LossTableContentTest, ContentBesideTheCauseIsGivenOneMoreLoss) {
  constexpr std::uint64_t kOther = 8;
  for (const char* target : {"a/1", "b/1"}) {
    table_.OnTargetLost(kContent, target, now_);
    peer_.OnTargetLost(kOther, target, now_);
  }
  EXPECT_TRUE(peer_.IsRefused(kOther));
  Report(table_, &peer_);
  Report(peer_, &table_);
  for (const ContentTable* vm : {&table_, &peer_}) {
    EXPECT_FALSE(vm->IsRefused(kContent));
    EXPECT_FALSE(vm->IsRefused(kOther));
  }
  table_.OnTargetLost(kContent, "c/1", now_);
  Report(table_, &peer_);
  for (const ContentTable* vm : {&table_, &peer_}) {
    EXPECT_TRUE(vm->IsRefused(kContent));
    EXPECT_FALSE(vm->IsRefused(kOther));
    EXPECT_FALSE(vm->IsSuspect(kOther, now_));
  }
}

TEST_F(LossTableContentTest, ContentAtAllLostTargetsIsRefusedBeforeOthers) {
  constexpr std::uint64_t kBesideA = 100;
  constexpr std::uint64_t kBesideB = 200;
  for (std::uint64_t i = 0; i < 10; ++i) {
    table_.OnTargetLost(kBesideA + i, "a/1", now_);
  }
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  for (std::uint64_t i = 0; i < 10; ++i) {
    table_.OnTargetLost(kBesideB + i, "b/1", now_);
  }
  EXPECT_TRUE(table_.IsRefused(kContent));
  EXPECT_EQ(table_.RefusedCount(), 1);
}

TEST_F(LossTableContentTest, SeldomRequestedContentIsRefusedToo) {
  table_.OnTargetLost(kContent, "a/1", now_);
  now_ += kRefusalTime * 2;
  table_.Expire(now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  EXPECT_TRUE(table_.IsRefused(kContent));
}

TEST_F(LossTableContentTest, CompleteAnswerClearsLossesAtAllVms) {
  table_.OnTargetLost(kContent, "a/1", now_);
  Report(table_, &peer_);
  now_ += milliseconds(5);
  peer_.OnAnswered(kContent, now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 0);
  table_.OnTargetLost(kContent, "b/1", now_);
  EXPECT_FALSE(table_.IsRefused(kContent));
}

TEST_F(LossTableContentTest, TargetThatAnswersSoonAfterLossWasNotLost) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  Report(table_, &peer_);
  const Time sent_at = now_ + milliseconds(500);
  now_ += seconds(3);
  peer_.OnTargetAnswered("a/1", sent_at, now_);
  EXPECT_EQ(peer_.Losses(kContent), 1);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 1);
  EXPECT_FALSE(table_.IsRefused(kContent));
  ContentTable late({2, kRefusalTime});
  late.OnTargetLost(kContent, "a/1", sent_at - milliseconds(100));
  Report(late, &table_);
  EXPECT_EQ(table_.Losses(kContent), 1);
}

// A target may start again under its id before its entry tells.
TEST_F(LossTableContentTest, TargetThatAnswersLaterMayHaveRestarted) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetAnswered("a/1", now_ - milliseconds(1), now_);
  EXPECT_EQ(table_.Losses(kContent), 1);
  now_ += milliseconds(1'500);
  table_.OnTargetAnswered("a/1", now_, now_);
  EXPECT_EQ(table_.Losses(kContent), 1);
}

TEST_F(LossTableContentTest, OldReportDoesNotBringBackClearedLosses) {
  peer_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent, "b/1", now_);
  now_ += milliseconds(5);
  table_.OnAnswered(kContent, now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 0);
  now_ += seconds(5);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 0);
}

TEST_F(LossTableContentTest, LossAfterCompleteAnswerElsewhereStays) {
  peer_.OnTargetLost(kContent, "z/1", now_);
  peer_.OnAnswered(kContent, now_);
  now_ += seconds(1);
  table_.OnTargetLost(kContent, "a/1", now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 1);
}

// Many callers ask for the same thing, which runs on every target.
TEST_F(LossTableContentTest, ContentAnsweredRecentlyIsGivenTwoMoreLosses) {
  table_.OnAnswered(kContent, now_);
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  table_.OnTargetLost(kContent, "c/1", now_);
  EXPECT_FALSE(table_.IsRefused(kContent));
  EXPECT_FALSE(table_.IsSuspect(kContent, now_));
  table_.OnTargetLost(kContent, "d/1", now_);
  EXPECT_TRUE(table_.IsRefused(kContent));
}

TEST_F(LossTableContentTest, EntriesAndReportsAreBoundedAndKeepTheLatest) {
  for (std::size_t i = 0; i < LossTable::kMaxEntries + 10; ++i) {
    now_ += milliseconds(1);
    table_.OnTargetLost(i, "a/1", now_);
    table_.OnAnswered(1'000'000 + i, now_);
  }
  EXPECT_EQ(table_.Losses(0), 0);
  const LossReport report = table_.CompleteReport(now_);
  ASSERT_EQ(report.losses.size(), LossTable::kMaxReported);
  EXPECT_EQ(report.losses[0].property, Content(LossTable::kMaxEntries + 9));
  for (int i = 0; i < 100; ++i) {
    table_.OnTargetLost(kContent, "t" + std::to_string(i), now_);
  }
  EXPECT_EQ(table_.Losses(kContent),
            static_cast<int>(LossTable::kMaxTargetsPerProperty));
}

// Each loss compared all contents of the target with each other.
TEST_F(LossTableContentTest, LossOfTargetWithAllContentsIsDecidedWithin1Ms) {
  constexpr Duration kMaxDecisionTime = milliseconds(1);
  constexpr int kMeasured = 64;
  for (std::size_t i = 0; i < LossTable::kMaxEntries; ++i) {
    table_.OnTargetLost(i, "a/1", now_);
    if (i % 4 == 0) {
      table_.OnTargetLost(i, "b/1", now_);
    }
  }
  std::vector<std::chrono::steady_clock::duration> times;
  for (std::size_t i = 0; i < kMeasured; ++i) {
    const auto start = std::chrono::steady_clock::now();
    table_.OnTargetLost(i, "a/2", now_);
    table_.OnTargetLost(i, "a/1", now_);
    times.push_back((std::chrono::steady_clock::now() - start) / 2);
  }
  std::nth_element(times.begin(), times.begin() + kMeasured / 2, times.end());
  EXPECT_LT(times[kMeasured / 2], kMaxDecisionTime);
}

using LossesByContent = std::map<std::uint64_t, std::set<std::uint32_t>>;

// Contents that must be refused by their losses alone, since no other content
// has lost more targets and could explain them.
std::set<std::uint64_t> SurelyRefused(const LossesByContent& losses) {
  std::set<std::uint64_t> refused;
  for (const LossesByContent::value_type& entry : losses) {
    const std::set<std::uint32_t>& targets = entry.second;
    const bool is_largest =
        std::none_of(losses.begin(), losses.end(), [&](const auto& other) {
          return other.second.size() > targets.size();
        });
    const bool has_other_cause =
        std::any_of(losses.begin(), losses.end(), [&](const auto& other) {
          return other.first != entry.first &&
                 std::includes(other.second.begin(), other.second.end(),
                               targets.begin(), targets.end());
        });
    const std::size_t limit = kLimit + (has_other_cause ? 1 : 0);
    if (is_largest && targets.size() >= limit) {
      refused.insert(entry.first);
    }
  }
  return refused;
}

TEST_F(LossTableContentTest, RefusalsAfterRandomLossesFollowTheRule) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    ContentTable table({kLimit, kRefusalTime});
    LossesByContent losses;
    for (int step = 0; step < 60; ++step) {
      const std::uint64_t content = random() % 8;
      const std::uint32_t target = random() % 6;
      table.OnTargetLost(content, "t" + std::to_string(target), now_);
      losses[content].insert(target);
      for (const auto& [known, targets] : losses) {
        ASSERT_EQ(table.Losses(known), static_cast<int>(targets.size()));
        ASSERT_TRUE(!table.IsRefused(known) || targets.size() >= kLimit)
            << "seed " << seed << " step " << step << " content " << known;
      }
      for (const std::uint64_t refused : SurelyRefused(losses)) {
        ASSERT_TRUE(table.IsRefused(refused))
            << "seed " << seed << " step " << step << " content " << refused;
      }
    }
  }
}

TEST_F(LossTableContentTest, EntryExpiresWhenNobodyAsks) {
  table_.OnTargetLost(kContent, "a/1", now_);
  now_ += kRefusalTime * 20;
  table_.Expire(now_);
  EXPECT_EQ(table_.Losses(kContent), 0);
  EXPECT_TRUE(table_.CompleteReport(now_).losses.empty());
}

}  // namespace
}  // namespace hornbeamcleat
