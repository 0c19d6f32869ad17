#include "hornbeamcleat/config/config_tail.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>

#include "hornbeamcleat/base/error.h"
#include "src/config/snapshot_record.h"

namespace hornbeamcleat {
namespace {

// A log with retention, which tails read in small batches.
class ConfigTailTest : public testing::Test {
 protected:
  std::unique_ptr<ConfigTail> Make(const std::string& writer) const {
    return ConfigTail::Make(writer, options_);
  }

  std::uint64_t Append(const std::string& payload) {
    log_.push_back({oldest_ + log_.size(), wall_, payload});
    return log_.back().offset;
  }

  std::uint64_t Put(const std::string& name, int rank,
                    const std::string& writer = "") {
    TierSpec spec;
    spec.rank = rank;
    const Resource* found = reference_.Find("Tier", name);
    const PutRecord record = {Resource{name, 0, spec},
                              found == nullptr ? 0 : found->version, writer};
    const std::uint64_t offset = Append(EncodeRecord(record));
    Fold(record, offset, &reference_);
    return offset;
  }

  void AppendSnapshot(ConfigTail* tail) {
    for (const std::string& payload : tail->MakeSnapshot(wall_)) {
      Append(payload);
    }
  }

  void Expire(std::uint64_t before) {
    while (oldest_ < before && !log_.empty()) {
      log_.erase(log_.begin());
      ++oldest_;
    }
  }

  LogRead ReadFrom(std::uint64_t from, std::size_t max) const {
    LogRead out;
    out.oldest = oldest_;
    out.next = oldest_ + log_.size();
    for (const LogRecord& record : log_) {
      if (record.offset >= from && out.records.size() < max) {
        out.records.push_back(record);
      }
    }
    return out;
  }

  ConfigUpdate ReadAll(ConfigTail* tail, std::size_t max = 3) const {
    ConfigUpdate all;
    std::uint64_t revision =
        tail->Current() == nullptr ? 0 : tail->Current()->revision;
    for (int i = 0; i < 1'000; ++i) {
      const LogRead read = ReadFrom(tail->NextOffset(), max);
      const ConfigUpdate update = tail->OnRead(read);
      all.published |= update.published;
      all.reset |= update.reset;
      all.changes.insert(all.changes.end(), update.changes.begin(),
                         update.changes.end());
      all.folded.insert(all.folded.end(), update.folded.begin(),
                        update.folded.end());
      if (tail->Current() != nullptr) {
        EXPECT_GE(tail->Current()->revision, revision);
        revision = tail->Current()->revision;
      }
      if (tail->NextOffset() >= read.next) {
        break;
      }
    }
    return all;
  }

  // Ignores the revision, since snapshot records increase it too.
  static bool SameContent(ConfigState a, const ConfigState& b) {
    a.revision = b.revision;
    return a == b;
  }

  bool IsUpToDate(const ConfigTail& tail) const {
    return tail.Current() != nullptr &&
           SameContent(*tail.Current(), reference_);
  }

  ConfigTailOptions options_;
  WallTime wall_{std::chrono::hours(1'000)};
  std::uint64_t oldest_ = 1;
  std::vector<LogRecord> log_;
  ConfigState reference_;
};

TEST_F(ConfigTailTest, OnReadEmptyNewLogIsReady) {
  const std::unique_ptr<ConfigTail> tail = Make("a");
  EXPECT_EQ(tail->Current(), nullptr);
  ReadAll(tail.get());
  ASSERT_NE(tail->Current(), nullptr);
  EXPECT_EQ(tail->Current()->revision, 0U);
}

TEST_F(ConfigTailTest, OnReadNotCaughtUpGivesNoState) {
  Put("a", 1);
  Put("b", 1);
  const std::unique_ptr<ConfigTail> tail = Make("a");
  tail->OnRead(ReadFrom(1, 1));
  EXPECT_EQ(tail->Current(), nullptr);
  ReadAll(tail.get());
  EXPECT_TRUE(IsUpToDate(*tail));
}

TEST_F(ConfigTailTest, OnReadGivesChangesAndOutcomesInOrder) {
  const std::unique_ptr<ConfigTail> tail = Make("a");
  ReadAll(tail.get());
  const std::string tag = tail->NextWriterTag();
  Put("gold", 1, tag);
  Append("{");
  Append(EncodeRecord(DeleteRecord{"Tier", "gold", 1, "x#1"}));
  const ConfigUpdate update = ReadAll(tail.get());
  EXPECT_FALSE(update.reset);
  EXPECT_THAT(update.changes,
              testing::ElementsAre(ConfigChange{false, 1, "Tier", "gold"},
                                   ConfigChange{true, 3, "Tier", "gold"}));
  EXPECT_THAT(update.folded, testing::ElementsAre(
                                 FoldedRecord{1, FoldResult::kApplied, tag},
                                 FoldedRecord{2, FoldResult::kInvalid, ""},
                                 FoldedRecord{3, FoldResult::kApplied, "x#1"}));
  EXPECT_EQ(tail->Current()->revision, 3U);
}

TEST_F(ConfigTailTest, FreshTailLoadsSnapshotAndSuffixAfterExpiry) {
  options_.part_bytes = 50;
  const std::unique_ptr<ConfigTail> old = Make("a");
  for (int i = 0; i < 20; ++i) {
    Put("t" + std::to_string(i), 1);
  }
  ReadAll(old.get());
  AppendSnapshot(old.get());
  Put("t3", 2);
  Put("late", 3);
  Expire(21);
  const std::unique_ptr<ConfigTail> fresh = Make("b");
  ReadAll(fresh.get());
  EXPECT_TRUE(IsUpToDate(*fresh));
  EXPECT_FALSE(fresh->HasGap());
  ReadAll(old.get());
  EXPECT_EQ(*fresh->Current(), *old->Current());
}

TEST_F(ConfigTailTest, FreshTailWithoutWholeSnapshotIsNotReady) {
  options_.part_bytes = 50;
  const std::unique_ptr<ConfigTail> old = Make("a");
  for (int i = 0; i < 5; ++i) {
    Put("t" + std::to_string(i), 1);
  }
  ReadAll(old.get());
  AppendSnapshot(old.get());
  Expire(7);
  const std::unique_ptr<ConfigTail> fresh = Make("b");
  ReadAll(fresh.get());
  EXPECT_EQ(fresh->Current(), nullptr);
  EXPECT_TRUE(fresh->HasGap());
  const ConfigUpdate update = fresh->OnPeerState(*old->Current());
  EXPECT_TRUE(update.published);
  EXPECT_TRUE(update.reset);
  EXPECT_TRUE(IsUpToDate(*fresh));
}

TEST_F(ConfigTailTest, PeerStateAfterScanningRecordsIsReadOnFromItsRevision) {
  const std::unique_ptr<ConfigTail> old = Make("a");
  Put("a", 1);
  Put("b", 1);
  ReadAll(old.get());
  const ConfigState state = *old->Current();
  Put("c", 1);
  Expire(2);
  const std::unique_ptr<ConfigTail> fresh = Make("b");
  ReadAll(fresh.get());
  EXPECT_EQ(fresh->Current(), nullptr);
  fresh->OnPeerState(state);
  EXPECT_EQ(fresh->NextOffset(), 3U);
  ReadAll(fresh.get());
  EXPECT_TRUE(IsUpToDate(*fresh));
}

TEST_F(ConfigTailTest, OnPeerStateLowerOrEqualRevisionIsNotTaken) {
  const std::unique_ptr<ConfigTail> tail = Make("a");
  Put("a", 1);
  Put("a", 2);
  ReadAll(tail.get());
  ConfigState lower;
  lower.revision = 2;
  EXPECT_FALSE(tail->OnPeerState(lower).published);
  EXPECT_TRUE(IsUpToDate(*tail));
}

TEST_F(ConfigTailTest, GapAfterOutageKeepsStateUntilSnapshotClosesIt) {
  const std::unique_ptr<ConfigTail> tail = Make("a");
  const std::unique_ptr<ConfigTail> other = Make("b");
  Put("a", 1);
  ReadAll(tail.get());
  const ConfigState before = *tail->Current();
  Put("b", 1);
  Put("c", 1);
  ReadAll(other.get());
  Expire(3);
  ReadAll(tail.get());
  EXPECT_TRUE(tail->HasGap());
  EXPECT_EQ(*tail->Current(), before);
  AppendSnapshot(other.get());
  const ConfigUpdate update = ReadAll(tail.get());
  EXPECT_TRUE(update.reset);
  EXPECT_TRUE(IsUpToDate(*tail));
  EXPECT_FALSE(tail->HasGap());
}

TEST_F(ConfigTailTest, SnapshotDueByAgeIsMadeByOneAndRenewed) {
  options_.snapshot_jitter = Duration(0);
  const std::unique_ptr<ConfigTail> a = Make("a");
  const std::unique_ptr<ConfigTail> b = Make("b");
  Put("x", 1);
  ReadAll(a.get());
  ReadAll(b.get());
  EXPECT_FALSE(a->SnapshotDue(wall_));
  wall_ += std::chrono::hours(1);
  EXPECT_TRUE(a->SnapshotDue(wall_));
  AppendSnapshot(a.get());
  EXPECT_FALSE(a->SnapshotDue(wall_));
  ReadAll(b.get());
  EXPECT_FALSE(b->SnapshotDue(wall_));
  wall_ += std::chrono::hours(1);
  EXPECT_TRUE(b->SnapshotDue(wall_));
}

TEST_F(ConfigTailTest, SnapshotDueWhenRetentionByCountComesNear) {
  options_.snapshot_jitter = Duration(0);
  const std::unique_ptr<ConfigTail> tail = Make("a");
  for (int i = 0; i < 10; ++i) {
    Put("t" + std::to_string(i), 1);
  }
  ReadAll(tail.get());
  EXPECT_FALSE(tail->SnapshotDue(wall_));
  Expire(2);
  ReadAll(tail.get());
  EXPECT_TRUE(tail->SnapshotDue(wall_));
  AppendSnapshot(tail.get());
  ReadAll(tail.get());
  EXPECT_FALSE(tail->SnapshotDue(wall_ + std::chrono::minutes(5)));
}

TEST_F(ConfigTailTest, MemberThatSkippedNewerRecordsLeavesSnapshotsToOthers) {
  options_.snapshot_jitter = std::chrono::minutes(1);
  const std::unique_ptr<ConfigTail> tail = Make("a");
  Put("x", 1);
  Append(R"({"type":"Later"})");
  ReadAll(tail.get());
  wall_ += std::chrono::hours(1);
  EXPECT_FALSE(tail->SnapshotDue(wall_));
  EXPECT_FALSE(tail->SnapshotDue(wall_ + std::chrono::minutes(3)));
  EXPECT_TRUE(tail->SnapshotDue(wall_ + std::chrono::minutes(4)));
}

// Random writes, record expiry, restarts without state, delayed reads and
// states from peers. Revisions must never decrease, and all tails must end with
// equal states.
TEST_F(ConfigTailTest, RandomExpiryAndRestartsAllEndEqualAndNeverGoBack) {
  constexpr int kSteps = 3'000;
  constexpr std::size_t kKept = 60;
  options_.snapshot_jitter = Duration(0);
  options_.part_bytes = 200;
  std::mt19937 random(17);
  std::vector<std::unique_ptr<ConfigTail>> tails;
  for (int i = 0; i < 4; ++i) {
    tails.push_back(Make("w" + std::to_string(i)));
    ReadAll(tails.back().get());
  }
  int restarts = 0;
  for (int step = 0; step < kSteps; ++step) {
    wall_ += std::chrono::seconds(10);
    if (random() % 3 == 0) {
      Put("t" + std::to_string(random() % 6), static_cast<int>(random() % 90));
    }
    const std::size_t n = random() % tails.size();
    ConfigTail* tail = tails[n].get();
    if (random() % 100 == 0) {
      tails[n] = Make("r" + std::to_string(++restarts));
      tail = tails[n].get();
    }
    if (random() % 2 == 0) {
      ReadAll(tail, 1 + random() % 5);
    }
    if (tail->SnapshotDue(wall_)) {
      AppendSnapshot(tail);
    }
    if (log_.size() > kKept) {
      Expire(oldest_ + log_.size() - kKept);
    }
    const std::unique_ptr<ConfigTail>& peer = tails[random() % tails.size()];
    if (tail->HasGap() && peer->Current() != nullptr) {
      tail->OnPeerState(*peer->Current());
    }
  }
  for (const std::unique_ptr<ConfigTail>& tail : tails) {
    ReadAll(tail.get());
    EXPECT_TRUE(IsUpToDate(*tail));
    EXPECT_EQ(*tail->Current(), *tails[0]->Current());
  }
  EXPECT_GT(restarts, 10);
}

TEST_F(ConfigTailTest, DecodeMutatedSnapshotPartsNeverCrash) {
  constexpr int kInputs = 20'000;
  const std::string good = EncodeSnapshotPart({"a#1", 7, 1, 3, "{\"x\":1}"});
  std::mt19937 random(19);
  const std::unique_ptr<ConfigTail> tail = Make("a");
  int refused = 0;
  for (int i = 0; i < kInputs; ++i) {
    std::string text = good;
    for (std::uint32_t n = 1 + random() % 3; n > 0; --n) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    try {
      DecodeSnapshotPart(text);
    } catch (const Error&) {
      ++refused;
    }
    const std::uint64_t offset = Append(text);
    tail->OnRead({1, offset + 1, {log_.back()}});
  }
  EXPECT_GT(refused, kInputs / 10);
  EXPECT_EQ(tail->NextOffset(), log_.back().offset + 1);
}

}  // namespace
}  // namespace hornbeamcleat
