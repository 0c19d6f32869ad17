#include "src/serving/refusal_records.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "src/serving/loss_table.h"

namespace hornbeamcleat {
namespace {

using std::chrono::seconds;

const RequestProperty kPart = {PropertyKind::kPart, "p"};

class RefusalRecordsTest : public testing::Test {
 protected:
  void Lose(const std::string& target) {
    losses_.OnTargetLost(TargetRun::Make({kPart}, target, now_), now_);
    now_ += seconds(1);
  }

  void Answer() {
    losses_.OnAnswered(TargetRun::Make({kPart}, "z", now_), now_, now_);
  }

  RefusalRecords::Changes Decide(int rank = 0) {
    return records_.Decide(
        losses_, [rank](std::uint64_t) { return rank; }, now_);
  }

  Time now_ = Time(seconds(1'000));
  LossTable losses_{{2, seconds(30)}};
  RefusalRecords records_;
};

TEST_F(RefusalRecordsTest, RefusedPropertyIsRecordedUntilReadBack) {
  records_.SetStored({});
  Lose("a");
  EXPECT_EQ(Decide(), RefusalRecords::Changes());
  Lose("b");
  const RefusalRecords::Changes changes = Decide();
  ASSERT_EQ(changes.record.size(), 1U);
  EXPECT_EQ(changes.record[0].property, kPart);
  EXPECT_TRUE(Decide().record.empty());
  now_ += seconds(2);
  EXPECT_EQ(Decide().record.size(), 1U);
  records_.SetStored(changes.record);
  now_ += seconds(2);
  EXPECT_EQ(Decide(), RefusalRecords::Changes());
}

// The store may come back from a copy that lacks the record.
TEST_F(RefusalRecordsTest, RecordThatTheStoreLostIsWrittenAgain) {
  records_.SetStored({});
  Lose("a");
  Lose("b");
  records_.SetStored(Decide().record);
  now_ += seconds(10);
  records_.SetStored({});
  EXPECT_EQ(Decide().record.size(), 1U);
}

TEST_F(RefusalRecordsTest, ClearedPropertyIsRemovedByFewVms) {
  records_.SetStored({});
  Lose("a");
  Lose("b");
  records_.SetStored(Decide().record);
  now_ += seconds(2);
  Answer();
  EXPECT_TRUE(Decide(1).remove.empty());
  EXPECT_EQ(Decide(0).remove, std::vector<RequestProperty>{kPart});
  now_ += seconds(3);
  EXPECT_EQ(Decide(30).remove, std::vector<RequestProperty>{kPart});
  records_.SetStored({});
  now_ += seconds(3);
  EXPECT_EQ(Decide(), RefusalRecords::Changes());
}

TEST_F(RefusalRecordsTest, OnlyFirstListIsRestored) {
  PropertyLoss refusal;
  refusal.property = kPart;
  EXPECT_EQ(records_.SetStored({refusal}), std::vector<PropertyLoss>{refusal});
  EXPECT_TRUE(records_.SetStored({refusal}).empty());
}

// All VMs stop at once and start again.
TEST_F(RefusalRecordsTest, RestoredPropertyIsRefusedUntilItsTrialIsAnswered) {
  PropertyLoss refusal;
  refusal.property = kPart;
  refusal.trials = 1;
  for (const PropertyLoss& restored : records_.SetStored({refusal})) {
    losses_.Restore(restored, now_);
  }
  const auto no_delay = [](std::uint64_t) { return Duration(0); };
  EXPECT_TRUE(losses_.IsRefused(kPart));
  EXPECT_EQ(Decide(), RefusalRecords::Changes());
  EXPECT_FALSE(losses_.TakeTrial({kPart}, no_delay, now_));
  now_ += seconds(30);
  EXPECT_TRUE(losses_.TakeTrial({kPart}, no_delay, now_));
  Answer();
  EXPECT_FALSE(losses_.IsRefused(kPart));
  EXPECT_EQ(Decide().remove, std::vector<RequestProperty>{kPart});
}

TEST_F(RefusalRecordsTest, LossInTrialOfRestoredPropertyIsRecorded) {
  PropertyLoss refusal;
  refusal.property = kPart;
  records_.SetStored({refusal});
  losses_.Restore(refusal, now_);
  now_ += seconds(5);
  ASSERT_TRUE(losses_.TakeTrial(
      {kPart}, [](std::uint64_t) { return Duration(0); }, now_));
  losses_.OnTrialSent({kPart}, now_);
  Lose("a");
  const RefusalRecords::Changes changes = Decide();
  ASSERT_EQ(changes.record.size(), 1U);
  EXPECT_EQ(changes.record[0].trials, 1U);
  EXPECT_TRUE(losses_.IsRefused(kPart));
}

}  // namespace
}  // namespace hornbeamcleat
