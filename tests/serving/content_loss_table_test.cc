#include "src/serving/content_loss_table.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRefusalTime = seconds(30);
constexpr std::uint64_t kContent = 7;

/// Two VMs that exchange reports.
class ContentLossTableTest : public testing::Test {
 protected:
  ContentLossTableTest()
      : table_({2, kRefusalTime}), peer_({2, kRefusalTime}) {}

  void Report(const ContentLossTable& from, ContentLossTable* to,
              bool is_complete = false) {
    to->OnPeerReport(from.Report(is_complete, now_), now_);
  }

  Time now_ = Time(seconds(1'000));
  ContentLossTable table_;
  ContentLossTable peer_;
};

TEST_F(ContentLossTableTest, ContentIsRefusedAtLimitOfDifferentIncarnations) {
  table_.OnTargetLost(kContent, "a/1", now_);
  EXPECT_FALSE(table_.IsRefused(kContent, now_));
  table_.OnTargetLost(kContent, "a/1", now_);
  EXPECT_FALSE(table_.IsRefused(kContent, now_));
  table_.OnTargetLost(kContent, "a/2", now_);
  EXPECT_TRUE(table_.IsRefused(kContent, now_));
  EXPECT_FALSE(table_.IsRefused(kContent + 1, now_));
  EXPECT_EQ(table_.TakeNewlyRefused().size(), 1U);
  EXPECT_TRUE(table_.TakeNewlyRefused().empty());
}

// The same content can run at one target through several VMs.
TEST_F(ContentLossTableTest, TargetLostAtTwoVmsCountsOnce) {
  table_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent, "a/1", now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 1);
  EXPECT_FALSE(table_.IsRefused(kContent, now_));
}

TEST_F(ContentLossTableTest, DifferentTargetsLostAtTwoVmsAddUp) {
  table_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent, "b/1", now_);
  Report(peer_, &table_);
  EXPECT_TRUE(table_.IsRefused(kContent, now_));
  EXPECT_EQ(table_.TakeNewlyRefused().size(), 1U);
}

TEST_F(ContentLossTableTest, LossesOutliveTheVmThatSawThem) {
  peer_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent, "b/1", now_);
  Report(peer_, &table_);
  ContentLossTable restarted({2, kRefusalTime});
  Report(table_, &restarted);
  EXPECT_FALSE(restarted.IsRefused(kContent, now_));
  Report(table_, &restarted, true);
  EXPECT_TRUE(restarted.IsRefused(kContent, now_));
}

TEST_F(ContentLossTableTest, RefusalLastsWhileContentIsRequested) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  for (int i = 0; i < 50; ++i) {
    now_ += seconds(20);
    table_.Expire(now_);
    ASSERT_TRUE(table_.IsRefused(kContent, now_)) << i;
    table_.OnRefused(kContent, now_);
  }
  now_ += kRefusalTime;
  EXPECT_FALSE(table_.IsRefused(kContent, now_));
}

// Each VM by itself is asked too seldom to keep up the refusal.
TEST_F(ContentLossTableTest, RefusalAtOneVmKeepsItUpAtOthers) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  Report(table_, &peer_);
  for (int i = 0; i < 6; ++i) {
    ContentLossTable& asked = i % 2 == 0 ? peer_ : table_;
    ContentLossTable& other = i % 2 == 0 ? table_ : peer_;
    now_ += seconds(20);
    ASSERT_TRUE(asked.IsRefused(kContent, now_)) << i;
    asked.OnRefused(kContent, now_);
    Report(asked, &other);
  }
}

TEST_F(ContentLossTableTest, OneLossAfterRefusalLapsedRenewsIt) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  now_ += kRefusalTime;
  table_.Expire(now_);
  EXPECT_FALSE(table_.IsRefused(kContent, now_));
  EXPECT_TRUE(table_.IsSuspect(kContent, now_));
  table_.OnTargetLost(kContent, "c/1", now_);
  EXPECT_TRUE(table_.IsRefused(kContent, now_));
}

TEST_F(ContentLossTableTest, SeldomRequestedContentIsRefusedToo) {
  table_.OnTargetLost(kContent, "a/1", now_);
  now_ += kRefusalTime * 2;
  table_.Expire(now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  EXPECT_TRUE(table_.IsRefused(kContent, now_));
}

TEST_F(ContentLossTableTest, CompleteAnswerClearsLossesAtAllVms) {
  table_.OnTargetLost(kContent, "a/1", now_);
  Report(table_, &peer_);
  now_ += milliseconds(5);
  peer_.OnAnswered(kContent, now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 0);
  table_.OnTargetLost(kContent, "b/1", now_);
  EXPECT_FALSE(table_.IsRefused(kContent, now_));
}

TEST_F(ContentLossTableTest, TargetThatAnswersSoonAfterLossWasNotLost) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  Report(table_, &peer_);
  const Time sent_at = now_ + milliseconds(500);
  now_ += seconds(3);
  peer_.OnTargetAnswered("a/1", sent_at);
  EXPECT_EQ(peer_.Losses(kContent), 1);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 1);
  EXPECT_FALSE(table_.IsRefused(kContent, now_));
  ContentLossTable late({2, kRefusalTime});
  late.OnTargetLost(kContent, "a/1", sent_at - milliseconds(100));
  Report(late, &table_);
  EXPECT_EQ(table_.Losses(kContent), 1);
}

// A target may start again under its id before its entry tells.
TEST_F(ContentLossTableTest, TargetThatAnswersLaterMayHaveRestarted) {
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetAnswered("a/1", now_ - milliseconds(1));
  EXPECT_EQ(table_.Losses(kContent), 1);
  now_ += milliseconds(1'500);
  table_.OnTargetAnswered("a/1", now_);
  EXPECT_EQ(table_.Losses(kContent), 1);
}

TEST_F(ContentLossTableTest, OldReportDoesNotBringBackClearedLosses) {
  peer_.OnTargetLost(kContent, "a/1", now_);
  peer_.OnTargetLost(kContent, "b/1", now_);
  now_ += milliseconds(5);
  table_.OnAnswered(kContent, now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 2);
  table_.OnAnswered(kContent, now_);
  peer_.OnRefused(kContent, now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 0);
}

TEST_F(ContentLossTableTest, LossAfterCompleteAnswerElsewhereStays) {
  peer_.OnTargetLost(kContent, "z/1", now_);
  peer_.OnAnswered(kContent, now_);
  now_ += seconds(1);
  table_.OnTargetLost(kContent, "a/1", now_);
  Report(peer_, &table_);
  EXPECT_EQ(table_.Losses(kContent), 1);
}

// Many callers ask for the same thing, which runs on every target.
TEST_F(ContentLossTableTest, ContentAnsweredRecentlyIsGivenTwoMoreLosses) {
  table_.OnAnswered(kContent, now_);
  table_.OnTargetLost(kContent, "a/1", now_);
  table_.OnTargetLost(kContent, "b/1", now_);
  table_.OnTargetLost(kContent, "c/1", now_);
  EXPECT_FALSE(table_.IsRefused(kContent, now_));
  EXPECT_FALSE(table_.IsSuspect(kContent, now_));
  table_.OnTargetLost(kContent, "d/1", now_);
  EXPECT_TRUE(table_.IsRefused(kContent, now_));
}

TEST_F(ContentLossTableTest, EntriesAndReportsAreBoundedAndKeepTheLatest) {
  for (std::size_t i = 0; i < ContentLossTable::kMaxEntries + 10; ++i) {
    now_ += milliseconds(1);
    table_.OnTargetLost(i, "a/1", now_);
    table_.OnAnswered(1'000'000 + i, now_);
  }
  EXPECT_EQ(table_.Losses(0), 0);
  const ContentReport report = table_.Report(true, now_);
  ASSERT_EQ(report.losses.size(), ContentLossTable::kMaxReported);
  EXPECT_EQ(report.losses[0].fingerprint, ContentLossTable::kMaxEntries + 9);
  for (int i = 0; i < 100; ++i) {
    table_.OnTargetLost(kContent, "t" + std::to_string(i), now_);
  }
  EXPECT_EQ(table_.Losses(kContent),
            static_cast<int>(ContentLossTable::kMaxTargetsPerContent));
}

TEST_F(ContentLossTableTest, EntryExpiresWhenNobodyAsks) {
  table_.OnTargetLost(kContent, "a/1", now_);
  now_ += kRefusalTime * 20;
  table_.Expire(now_);
  EXPECT_EQ(table_.Losses(kContent), 0);
  EXPECT_TRUE(table_.Report(true, now_).losses.empty());
}

}  // namespace
}  // namespace hornbeamcleat
