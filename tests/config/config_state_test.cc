#include "hornbeamcleat/config/config_state.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

class ConfigStateTest : public testing::Test {
 protected:
  static Resource Tier(const std::string& name, int rank) {
    TierSpec spec;
    spec.rank = rank;
    return {name, 0, spec};
  }

  static Resource Move(const std::string& name) {
    MoveSpec spec;
    spec.model = "llm";
    spec.from_version = "v1";
    spec.to_version = "v2";
    return {name, 0, spec};
  }

  static MoveProgressRecord Progress(const std::string& move,
                                     std::uint64_t fencing, int share_permille,
                                     const std::string& phase) {
    MoveProgressRecord out;
    out.move = move;
    out.fencing = fencing;
    out.share_permille = share_permille;
    out.phase = phase;
    return out;
  }

  FoldResult Add(const ConfigRecord& record) {
    return Fold(record, ++offset_, &state_);
  }

  // Returns a valid, conflicting or invalid record.
  static ConfigRecord RandomRecord(std::mt19937* random, std::uint64_t offset) {
    const std::uint64_t seen = (*random)() % (offset + 1);
    const std::string name = "n" + std::to_string((*random)() % 5);
    const std::string version = "v" + std::to_string((*random)() % 3);
    switch ((*random)() % 8) {
      case 6:
        return PutRecord{Resource{version, 0, VersionSpec{"llm", "w", 1}}, 0};
      case 7:
        return Progress(name, (*random)() % 9, 1000, "Done");
      case 0:
        return PutRecord{Tier(name, 1), (*random)() % 2 == 0 ? 0 : seen};
      case 1:
        return PutRecord{Tier(name, -1), 0};
      case 2:
        return PutRecord{Move(name), (*random)() % 2 == 0 ? 0 : seen};
      case 3:
        return DeleteRecord{(*random)() % 2 == 0 ? "Tier" : "Move", name, seen};
      case 4:
        return WithdrawRecord{"llm", "v" + std::to_string((*random)() % 40),
                              ""};
      default:
        return Progress(name, (*random)() % 9, 10, "Growing");
    }
  }

  ConfigState state_;
  std::uint64_t offset_ = 0;
};

TEST_F(ConfigStateTest, FoldTwoOperatorsInARaceFirstOffsetWins) {
  ASSERT_EQ(Add(PutRecord{Tier("gold", 1), 0}), FoldResult::kApplied);
  const std::uint64_t seen = state_.Find("Tier", "gold")->version;
  EXPECT_EQ(Add(PutRecord{Tier("gold", 2), seen}), FoldResult::kApplied);
  EXPECT_EQ(Add(PutRecord{Tier("gold", 3), seen}), FoldResult::kConflict);
  EXPECT_EQ(std::get<TierSpec>(state_.Find("Tier", "gold")->spec).rank, 2);
  EXPECT_EQ(state_.Find("Tier", "gold")->version, 2U);
}

TEST_F(ConfigStateTest, FoldCreateTwiceSecondConflicts) {
  EXPECT_EQ(Add(PutRecord{Tier("gold", 1), 0}), FoldResult::kApplied);
  EXPECT_EQ(Add(PutRecord{Tier("gold", 2), 0}), FoldResult::kConflict);
}

TEST_F(ConfigStateTest, FoldDeleteThenCreateNeverTakesTheOldVersion) {
  Add(PutRecord{Tier("gold", 1), 0});
  EXPECT_EQ(Add(DeleteRecord{"Tier", "gold", 1}), FoldResult::kApplied);
  EXPECT_EQ(Add(DeleteRecord{"Tier", "gold", 1}), FoldResult::kConflict);
  EXPECT_EQ(Add(PutRecord{Tier("gold", 2), 1}), FoldResult::kConflict);
  EXPECT_EQ(Add(PutRecord{Tier("gold", 2), 0}), FoldResult::kApplied);
}

TEST_F(ConfigStateTest, FoldReplayedOffsetChangesNothing) {
  Add(PutRecord{Tier("gold", 1), 0});
  const ConfigState before = state_;
  EXPECT_EQ(Fold(PutRecord{Tier("gold", 9), 1}, 1, &state_),
            FoldResult::kStale);
  EXPECT_EQ(state_, before);
}

TEST_F(ConfigStateTest, FoldInvalidResourceIsSkippedAndRevisionRises) {
  EXPECT_EQ(Add(PutRecord{Tier("gold", -1), 0}), FoldResult::kInvalid);
  EXPECT_TRUE(state_.resources.empty());
  EXPECT_EQ(state_.revision, 1U);
}

TEST_F(ConfigStateTest, FoldProgressWithOlderFencingIsStale) {
  Add(PutRecord{Move("m"), 0});
  EXPECT_EQ(Add(Progress("m", 5, 10, "Growing")), FoldResult::kApplied);
  EXPECT_EQ(Add(Progress("m", 4, 500, "Growing")), FoldResult::kStale);
  EXPECT_EQ(state_.moves["m"].share_permille, 10);
}

TEST_F(ConfigStateTest, FoldWithdrawnVersionCanOnlyRollBackAndNotReturn) {
  Add(PutRecord{Move("m"), 0});
  Add(Progress("m", 1, 10, "Growing"));
  Add(WithdrawRecord{"llm", "v2", "faults"});
  EXPECT_EQ(Add(Progress("m", 2, 100, "Growing")), FoldResult::kInvalid);
  EXPECT_EQ(Add(Progress("m", 2, 0, "RolledBack")), FoldResult::kApplied);
  EXPECT_EQ(Add(Progress("m", 3, 100, "Growing")), FoldResult::kStale);
  EXPECT_EQ(Add(PutRecord{Move("again"), 0}), FoldResult::kInvalid);
}

TEST_F(ConfigStateTest, FoldFromAnySnapshotGivesTheSameState) {
  constexpr std::uint64_t kRecords = 300;
  std::mt19937 random(5);
  std::vector<std::string> log;
  for (std::uint64_t i = 1; i <= kRecords; ++i) {
    log.push_back(EncodeRecord(RandomRecord(&random, i)));
    Fold(DecodeRecord(log.back()), i, &state_);
  }
  EXPECT_GT(state_.resources.size(), 3U);
  for (std::uint64_t cut = 0; cut <= kRecords; cut += 17) {
    ConfigState other;
    for (std::uint64_t i = 1; i <= kRecords; ++i) {
      Fold(DecodeRecord(log[i - 1]), i, &other);
      if (i == cut) {
        other = DecodeState(EncodeState(other));
      }
    }
    EXPECT_EQ(other, state_) << cut;
  }
}

TEST_F(ConfigStateTest, DecodeRecordOfANewerBuildIsReadWithoutItsMembers) {
  const ConfigRecord record = DecodeRecord(
      R"({"type":"Withdraw","model":"m","version":"v","reason":"r","new":[{}]})");
  EXPECT_EQ(record, ConfigRecord(WithdrawRecord{"m", "v", "r"}));
  EXPECT_THROW(DecodeRecord(R"({"type":"Later","model":"m"})"), Error);
}

TEST_F(ConfigStateTest, DecodeRecordOfAnOlderBuildHasNoWriter) {
  const ConfigRecord record = DecodeRecord(
      R"({"type":"Delete","kind":"Tier","name":"g","expectedVersion":3})");
  EXPECT_EQ(record, ConfigRecord(DeleteRecord{"Tier", "g", 3}));
}

TEST_F(ConfigStateTest, DecodeStateLeavesOutKindsOfNewerBuilds) {
  Add(PutRecord{Tier("gold", 1), 0});
  std::string text = EncodeState(state_);
  const std::string head = "\"resources\":[";
  text.insert(text.find(head) + head.size(),
              R"({"kind":"Later","metadata":{"name":"x"},"spec":{"odd":[]}},)");
  EXPECT_EQ(DecodeState(text), state_);
}

TEST_F(ConfigStateTest, DecodeMutatedInputsThrowErrorOrGiveAValue) {
  constexpr int kInputs = 20'000;
  Add(PutRecord{Tier("gold", 1), 0});
  Add(PutRecord{Move("m"), 0});
  Add(WithdrawRecord{"llm", "v3", "x"});
  Add(Progress("m", 1, 10, "Growing"));
  const std::vector<std::string> good = {
      EncodeState(state_), EncodeRecord(PutRecord{Move("m"), 7, "w#1"}),
      EncodeRecord(DeleteRecord{"Move", "m", 7, "w#2"}),
      EncodeRecord(WithdrawRecord{"llm", "v3", "x"}),
      EncodeRecord(Progress("m", 1, 10, "Growing"))};
  std::mt19937 random(13);
  int refused = 0;
  for (int i = 0; i < kInputs; ++i) {
    std::string text = good[random() % good.size()];
    for (std::uint32_t n = 1 + random() % 4; n > 0; --n) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
      text.resize(random() % text.size());
    }
    try {
      DecodeRecord(text);
    } catch (const Error&) {
      ++refused;
    }
    try {
      DecodeState(text);
    } catch (const Error&) {
      ++refused;
    }
  }
  EXPECT_GT(refused, kInputs);
  EXPECT_LE(refused, 2 * kInputs);
}

}  // namespace
}  // namespace hornbeamcleat
