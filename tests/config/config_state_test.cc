#include "hornbeamcleat/config/config_state.h"

#include <gtest/gtest.h>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

class ConfigStateTest : public testing::Test {
 protected:
  FoldResult Put(const std::string& name, const ResourceSpec& spec,
                 std::uint64_t expected) {
    return Fold(PutRecord{{name, 0, spec}, expected}, ++offset_, &state_);
  }

  void DeclareMove() {
    Put("v1", VersionSpec{"llm", "w1", 1}, 0);
    Put("v2", VersionSpec{"llm", "w2", 1}, 0);
    MoveSpec move;
    move.model = "llm";
    move.from_version = "v1";
    move.to_version = "v2";
    Put("m", move, 0);
  }

  FoldResult Progress(const std::string& phase, std::uint64_t fencing) {
    return Fold(MoveProgressRecord{"m", fencing, 10, phase, WallTime(), ""},
                ++offset_, &state_);
  }

  ConfigState state_;
  std::uint64_t offset_ = 0;
};

TEST_F(ConfigStateTest, PutWithStaleVersionConflicts) {
  EXPECT_EQ(Put("gold", TierSpec{0}, 0), FoldResult::kApplied);
  EXPECT_EQ(Put("gold", TierSpec{1}, 1), FoldResult::kApplied);
  EXPECT_EQ(Put("gold", TierSpec{2}, 1), FoldResult::kConflict);
  EXPECT_EQ(std::get<TierSpec>(state_.Find("Tier", "gold")->spec).rank, 1);
}

TEST_F(ConfigStateTest, FoldOfSeenOffsetIsStale) {
  Put("gold", TierSpec{0}, 0);
  EXPECT_EQ(Fold(PutRecord{{"gold", 0, TierSpec{5}}, 1}, 1, &state_),
            FoldResult::kStale);
}

TEST_F(ConfigStateTest, ProgressWithOldFencingIsStale) {
  DeclareMove();
  EXPECT_EQ(Progress("Growing", 9), FoldResult::kApplied);
  EXPECT_EQ(Progress("Growing", 8), FoldResult::kStale);
}

TEST_F(ConfigStateTest, WithdrawnVersionOnlyRollsBack) {
  DeclareMove();
  Fold(WithdrawRecord{"llm", "v2", "faults"}, ++offset_, &state_);
  EXPECT_EQ(Progress("Growing", 9), FoldResult::kInvalid);
  EXPECT_EQ(Progress("RolledBack", 9), FoldResult::kApplied);
  EXPECT_EQ(state_.serving.at("llm"), "v1");
}

TEST_F(ConfigStateTest, DoneMoveChangesServingVersion) {
  DeclareMove();
  Progress("Done", 9);
  EXPECT_EQ(state_.serving.at("llm"), "v2");
  EXPECT_EQ(Progress("RolledBack", 10), FoldResult::kStale);
}

TEST_F(ConfigStateTest, EncodedStateDecodesEqual) {
  DeclareMove();
  Progress("Growing", 9);
  Fold(WithdrawRecord{"llm", "v9", "faults"}, ++offset_, &state_);
  EXPECT_EQ(DecodeState(EncodeState(state_)), state_);
}

TEST_F(ConfigStateTest, EncodedRecordsDecodeEqual) {
  const ConfigRecord records[] = {
      PutRecord{{"gold", 0, TierSpec{0}}, 4}, DeleteRecord{"Tier", "gold", 4},
      WithdrawRecord{"llm", "v2", "slow"},
      MoveProgressRecord{"m", 3, 5, "Done",
                         WallTime(std::chrono::milliseconds(7)), "r"}};
  for (const ConfigRecord& record : records) {
    EXPECT_EQ(DecodeRecord(EncodeRecord(record)), record);
  }
  EXPECT_THROW(DecodeRecord("{\"type\":\"Other\"}"), Error);
}

}  // namespace
}  // namespace hornbeamcleat
