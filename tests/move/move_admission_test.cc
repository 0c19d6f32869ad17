#include "hornbeamcleat/move/move_admission.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hornbeamcleat/move/move_controller.h"

namespace hornbeamcleat {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

class MoveAdmissionTest : public testing::Test {
 protected:
  MoveAdmissionTest() {
    spec_.model = "llm";
    spec_.from_version = "v1";
    spec_.to_version = "v2";
    spec_.bake_time = minutes(10);
    spec_.deadline = now_ + minutes(60);
    plan_.targets = 10;
    plan_.weight_bytes = 30'000'000'000;
    plan_.store_bytes_per_second = 1'000'000'000;
  }

  const WallTime now_{std::chrono::hours(1)};
  MoveSpec spec_;
  LoadPlan plan_;
};

TEST_F(MoveAdmissionTest, LoadTimeFollowsTheStoresRate) {
  EXPECT_EQ(LoadTime(plan_), seconds(30));
}

TEST_F(MoveAdmissionTest, MoveWithTimeEnoughIsAdmitted) {
  EXPECT_TRUE(AdmitMove(spec_, now_, plan_).admitted);
}

TEST_F(MoveAdmissionTest, EarliestEndCountsAllLoadsAndTheBake) {
  EXPECT_GE(EarliestEnd(spec_, now_, 10, seconds(30)),
            now_ + minutes(5) + minutes(10));
}

TEST_F(MoveAdmissionTest, MoveThatCannotFinishIsRefusedWithTheEarliestTime) {
  spec_.deadline = now_ + minutes(15);
  const MoveAdmission refused = AdmitMove(spec_, now_, plan_);
  EXPECT_FALSE(refused.admitted);
  EXPECT_THAT(refused.reason, testing::HasSubstr("10 targets"));
  spec_.deadline = refused.earliest_deadline - std::chrono::milliseconds(1);
  EXPECT_FALSE(AdmitMove(spec_, now_, plan_).admitted);
  spec_.deadline = refused.earliest_deadline;
  EXPECT_TRUE(AdmitMove(spec_, now_, plan_).admitted);
}

TEST_F(MoveAdmissionTest, AdmittedAtTheEarliestTimeIsDoneBeforeTheDeadline) {
  spec_.deadline = AdmitMove(spec_, now_, plan_).earliest_deadline;
  const std::unique_ptr<MoveController> controller =
      MoveController::Make("m1", spec_, 1);
  MoveInput input;
  input.started = now_;
  input.wanted_targets = 10;
  input.now = now_ + minutes(5);
  input.ready_targets = 10;
  MoveState state;
  VersionEvidence cell;
  cell.model = "llm";
  while (input.now < spec_.deadline) {
    input.evidence.clear();
    for (const char* version : {"v1", "v2"}) {
      cell.version = version;
      cell.done = static_cast<std::uint64_t>((input.now - now_).count() / 10);
      input.evidence.push_back(cell);
    }
    const MoveDecision decision = controller->Decide(state, input);
    state = decision.advance.value_or(state);
    input.now = decision.next_evaluation;
  }
  EXPECT_EQ(state.phase, MovePhase::kDone);
}

}  // namespace
}  // namespace hornbeamcleat
