#include "hornbeamcleat/agree/intents.h"

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/agree/intent_record.h"

namespace hornbeamcleat {
namespace {

constexpr std::int64_t kStartMs = 1'700'000'000'000;

// A log shared by all daemons of a test. Each daemon has its own read position.
class IntentsTest : public testing::Test {
 protected:
  struct Daemon {
    std::unique_ptr<Intents> intents;
    std::size_t read = 0;
  };

  static WallTime Wall(Duration since_start) {
    return WallTime(std::chrono::milliseconds(kStartMs)) +
           std::chrono::duration_cast<std::chrono::milliseconds>(since_start);
  }

  static std::string Key(Duration issued, const std::string& name) {
    return fmt::format("{}-{}", Wall(issued).time_since_epoch().count(), name);
  }

  Daemon Make(const std::string& entry) {
    Daemon daemon;
    daemon.intents = Intents::Make(entry, options_);
    daemon.intents->OnCaughtUp(true);
    daemon.intents->Tick(now_, Wall(now_.time_since_epoch()));
    return daemon;
  }

  void Advance(Duration d) { now_ += d; }

  // Appends the daemon's next batch. Returns its id, or 0 if none was due.
  std::uint64_t Append(Daemon* daemon) {
    const std::optional<IntentBatch> batch = daemon->intents->NextBatch(now_);
    if (!batch) {
      return 0;
    }
    log_.push_back(
        {first_ + log_.size(), Wall(now_.time_since_epoch()), batch->payload});
    daemon->intents->OnAppendSent(batch->batch_id, now_);
    return batch->batch_id;
  }

  std::vector<IntentDecision> Read(Daemon* daemon) {
    std::vector<IntentDecision> out;
    for (; daemon->read < log_.size(); ++daemon->read) {
      const Record& record = log_[daemon->read];
      const std::vector<IntentDecision> some = daemon->intents->OnRecord(
          record.offset, record.time, record.payload, now_);
      out.insert(out.end(), some.begin(), some.end());
    }
    return out;
  }

  static std::vector<IntentResult> Results(
      const std::vector<IntentDecision>& decisions) {
    std::vector<IntentResult> out;
    out.reserve(decisions.size());
    for (const IntentDecision& decision : decisions) {
      out.push_back(decision.result);
    }
    return out;
  }

  struct Record {
    std::uint64_t offset;
    WallTime time;
    std::string payload;
  };

  IntentOptions options_;
  Time now_{std::chrono::seconds(10)};
  std::uint64_t first_ = 1;
  std::vector<Record> log_;
  const std::string key_ = Key(std::chrono::seconds(10), "pay");
};

TEST_F(IntentsTest, ProposeTwoEntriesLowestOffsetWins) {
  Daemon a = Make("a#1");
  Daemon b = Make("b#1");
  EXPECT_FALSE(a.intents->Propose("r1", key_, now_));
  EXPECT_FALSE(b.intents->Propose("r2", key_, now_));
  Append(&b);
  Append(&a);
  const std::vector<IntentDecision> lost = Read(&a);
  ASSERT_THAT(Results(lost), testing::ElementsAre(IntentResult::kLost));
  EXPECT_EQ(lost[0].winner, "r2");
  EXPECT_EQ(lost[0].winner_entry, "b#1");
  EXPECT_THAT(Results(Read(&b)), testing::ElementsAre(IntentResult::kWon));
}

TEST_F(IntentsTest, ProposeKnownKeyIsLostAtOnce) {
  Daemon a = Make("a#1");
  a.intents->Propose("r1", key_, now_);
  Append(&a);
  Read(&a);
  const std::optional<IntentDecision> decision =
      a.intents->Propose("r2", key_, now_);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->result, IntentResult::kLost);
  EXPECT_EQ(decision->winner, "r1");
}

TEST_F(IntentsTest, AppendAnswerLostAndRecordReadWins) {
  Daemon a = Make("a#1");
  a.intents->Propose("r1", key_, now_);
  Append(&a);
  Advance(options_.decide_timeout / 2);
  EXPECT_TRUE(a.intents->Tick(now_, Wall(now_.time_since_epoch())).empty());
  EXPECT_THAT(Results(Read(&a)), testing::ElementsAre(IntentResult::kWon));
}

TEST_F(IntentsTest, AppendSurelyNotDoneIsUnavailable) {
  Daemon a = Make("a#1");
  a.intents->Propose("r1", key_, now_);
  const std::optional<IntentBatch> batch = a.intents->NextBatch(now_);
  ASSERT_TRUE(batch);
  EXPECT_THAT(Results(a.intents->OnAppendFailed(batch->batch_id, now_)),
              testing::ElementsAre(IntentResult::kUnavailable));
}

TEST_F(IntentsTest, LogDownAttemptsAreUnavailableAfterTimeout) {
  Daemon a = Make("a#1");
  a.intents->Propose("r1", key_, now_);
  a.intents->NextBatch(now_);
  Advance(options_.decide_timeout);
  EXPECT_THAT(Results(a.intents->Tick(now_, Wall(now_.time_since_epoch()))),
              testing::ElementsAre(IntentResult::kUnavailable));
}

TEST_F(IntentsTest, GivenUpAttemptNeverWinsAndItsKeyIsReleased) {
  Daemon a = Make("a#1");
  Daemon b = Make("b#1");
  a.intents->Propose("r1", key_, now_);
  Append(&a);
  Advance(options_.decide_timeout);
  a.intents->Tick(now_, Wall(now_.time_since_epoch()));
  EXPECT_TRUE(Read(&a).empty());
  b.intents->Propose("r2", key_, now_);
  Append(&b);
  EXPECT_THAT(Results(Read(&b)), testing::ElementsAre(IntentResult::kLost));
  Append(&a);
  Read(&b);
  EXPECT_FALSE(b.intents->Propose("r3", key_, now_));
  Advance(options_.batch_period);
  Append(&b);
  EXPECT_THAT(Results(Read(&b)), testing::ElementsAre(IntentResult::kWon));
}

TEST_F(IntentsTest, RecordReadAfterTimeoutBeforeTickDoesNotWin) {
  Daemon a = Make("a#1");
  a.intents->Propose("r1", key_, now_);
  Append(&a);
  Advance(options_.decide_timeout);
  EXPECT_THAT(Results(Read(&a)),
              testing::ElementsAre(IntentResult::kUnavailable));
}

TEST_F(IntentsTest, ReleaseWonAttemptLetsALaterOneWin) {
  Daemon a = Make("a#1");
  a.intents->Propose("r1", key_, now_);
  Append(&a);
  Read(&a);
  a.intents->Release("r1", key_);
  EXPECT_FALSE(a.intents->Propose("r2", key_, now_));
  Advance(options_.batch_period);
  Append(&a);
  EXPECT_THAT(Results(Read(&a)), testing::ElementsAre(IntentResult::kWon));
}

TEST_F(IntentsTest, ReleaseByAnotherEntryHasNoEffect) {
  Daemon a = Make("a#1");
  Daemon b = Make("b#1");
  a.intents->Propose("r1", key_, now_);
  Append(&a);
  Read(&b);
  b.intents->Release("r1", key_);
  log_.push_back({2, Wall(now_.time_since_epoch()),
                  EncodeIntent({"b#1", {{1, key_}}, {}})});
  Read(&b);
  EXPECT_EQ(b.intents->Propose("r2", key_, now_)->result, IntentResult::kLost);
}

TEST_F(IntentsTest, ProposeKeyWithoutDateOrOldOrAheadIsRefused) {
  Daemon a = Make("a#1");
  Advance(options_.key_life);
  a.intents->Tick(now_, Wall(now_.time_since_epoch()));
  const Duration ahead = now_.time_since_epoch() + std::chrono::minutes(2);
  for (const std::string& key :
       {std::string("plain"), key_, Key(ahead, "x"), std::string()}) {
    const std::optional<IntentDecision> decision =
        a.intents->Propose("r1", key, now_);
    ASSERT_TRUE(decision) << key;
    EXPECT_EQ(decision->result, IntentResult::kExpired) << key;
  }
}

TEST_F(IntentsTest, RecordLoggedAfterKeyLifeIsExpiredByTheLogsClock) {
  Daemon a = Make("a#1");
  a.intents->Propose("r1", key_, now_);
  const std::optional<IntentBatch> batch = a.intents->NextBatch(now_);
  const WallTime late = Wall(now_.time_since_epoch() + options_.key_life);
  EXPECT_THAT(Results(a.intents->OnRecord(1, late, batch->payload, now_)),
              testing::ElementsAre(IntentResult::kExpired));
}

TEST_F(IntentsTest, FreshDaemonAfterExpiredRecordsRefusesKeysItMayHaveMissed) {
  Daemon a = Make("a#1");
  a.intents->Propose("r1", key_, now_);
  Append(&a);
  EXPECT_THAT(Results(Read(&a)), testing::ElementsAre(IntentResult::kWon));
  log_.clear();
  first_ = 2;
  Daemon fresh = Make("b#1");
  EXPECT_FALSE(fresh.intents->Propose("r2", key_, now_));
  Append(&fresh);
  EXPECT_THAT(Results(Read(&fresh)),
              testing::ElementsAre(IntentResult::kUnavailable));
  const std::optional<IntentDecision> again =
      fresh.intents->Propose("r3", key_, now_);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->result, IntentResult::kUnavailable);
}

TEST_F(IntentsTest, FullTableForgetsOldestKeyAndRefusesItAfterwards) {
  options_.max_keys = 2;
  Daemon a = Make("a#1");
  for (int i = 0; i < 3; ++i) {
    a.intents->Propose(fmt::format("r{}", i), Key(std::chrono::seconds(i), "k"),
                       now_);
  }
  Append(&a);
  EXPECT_THAT(Results(Read(&a)), testing::Each(IntentResult::kWon));
  EXPECT_EQ(a.intents->Size(), 2U);
  const std::optional<IntentDecision> again =
      a.intents->Propose("r9", Key(std::chrono::seconds(0), "k"), now_);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->result, IntentResult::kUnavailable);
}

TEST_F(IntentsTest, NextBatchIdleLogGetsMarkersOnly) {
  Daemon a = Make("a#1");
  EXPECT_NE(Append(&a), 0U);
  Read(&a);
  Advance(options_.key_life / 5);
  EXPECT_EQ(Append(&a), 0U);
  Advance(options_.key_life / 10);
  EXPECT_NE(Append(&a), 0U);
}

TEST_F(IntentsTest, SetWritersKeepsAppendsOfAllUnderTheBudget) {
  Daemon a = Make("a#1");
  a.intents->SetWriterCount(48);
  int appends = 0;
  const Time end = now_ + std::chrono::seconds(10);
  for (int i = 0; now_ < end; ++i) {
    a.intents->Propose(fmt::format("r{}", i), key_, now_);
    appends += Append(&a) == 0 ? 0 : 1;
    Advance(std::chrono::milliseconds(10));
  }
  EXPECT_LE(appends * 48 / 10, options_.max_appends_per_second);
}

}  // namespace
}  // namespace hornbeamcleat
