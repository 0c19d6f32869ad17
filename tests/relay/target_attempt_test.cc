#include "src/relay/target_attempt.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "src/serving/version_moves.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr char kOld[] = "v1";
constexpr char kNew[] = "v2";

/// Streams at targets of two versions during a move of their service.
class TargetAttemptTest : public testing::Test {
 protected:
  TargetAttemptTest() : queue_(&targets_), moves_(VersionMoves::Options()) {
    std::vector<ServingTarget> listed;
    for (const char* version : {kOld, kNew}) {
      ServingTarget target;
      target.id = version;
      target.service = "s";
      target.address = "127.0.0.1:1";
      target.software_version = version;
      listed.push_back(target);
    }
    targets_.SetTargets(listed, now_);
    SetMove(MoveOutcome::kInProgress);
  }

  void SetMove(MoveOutcome outcome) {
    moves_.SetMoves({{"s", kNew, std::chrono::seconds(60)}},
                    {{"s", kNew, outcome, WallTime()}}, now_, WallTime());
  }

  TargetAttempt Begin(const std::string& version) {
    return TargetAttempt({&targets_, &queue_, &moves_}, {"s", "r", 0},
                         Placement{version, milliseconds(50)}, now_);
  }

  // Lets a stream have its first bytes and some more, with equal pauses.
  void Stream(TargetAttempt* attempt, int pauses, Duration pause) {
    attempt->OnFirstEvent(now_);
    attempt->OnStreamBytes(now_);
    for (int i = 0; i < pauses; ++i) {
      now_ += pause;
      attempt->OnStreamBytes(now_);
    }
  }

  void StreamToEnd(const std::string& version, int pauses, Duration pause) {
    TargetAttempt attempt = Begin(version);
    Stream(&attempt, pauses, pause);
    attempt.Finish(TargetOutcome::kAnswered, true, now_);
  }

  VersionCounts Counts(bool is_new) const {
    for (const VersionCounts& counts : moves_.Counts()) {
      if (counts.is_new == is_new) {
        return counts;
      }
    }
    return {};
  }

  Time now_{milliseconds(100'000)};
  TargetBalancer targets_;
  WaitQueue queue_;
  VersionMoves moves_;
};

// Guards against a version whose streams are slow after the first event: their
// callers leave, and an attempt that a caller ends is no evidence else.
TEST_F(TargetAttemptTest, StreamThatStallsIsAFaultBeforeItsCallerLeaves) {
  for (int i = 0; i < 5; ++i) {
    StreamToEnd(kOld, 4, milliseconds(240));
  }
  TargetAttempt attempt = Begin(kNew);
  Stream(&attempt, 1, milliseconds(240));
  ASSERT_EQ(attempt.PauseCheckDue(now_), now_ + milliseconds(720));
  now_ += milliseconds(719);
  attempt.CheckPause(now_);
  EXPECT_EQ(Counts(true).faults, 0U);
  now_ += milliseconds(1);
  attempt.CheckPause(now_);
  EXPECT_EQ(Counts(true).faults, 1U);
  EXPECT_EQ(attempt.PauseCheckDue(now_), std::nullopt);
  now_ += milliseconds(1'000);
  attempt.Finish(TargetOutcome::kAbandoned, true, now_);
  EXPECT_EQ(Counts(true).faults, 1U) << "counted twice";
  EXPECT_EQ(Counts(true).streams, 0U);
}

TEST_F(TargetAttemptTest, StreamsAreComparedByTheirLongestEarlyPause) {
  StreamToEnd(kOld, 4, milliseconds(1'000));
  EXPECT_EQ(Counts(false).streams, 1U);
  EXPECT_NEAR(Counts(false).pause_log_sum, 0, 0.01);
  // The evidence of a long stream is needed before its end.
  TargetAttempt attempt = Begin(kNew);
  Stream(&attempt, 8, milliseconds(1'000));
  EXPECT_EQ(Counts(true).streams, 1U);
  Stream(&attempt, 8, milliseconds(1'000));
  attempt.Finish(TargetOutcome::kAnswered, true, now_);
  EXPECT_EQ(Counts(true).streams, 1U);
}

TEST_F(TargetAttemptTest, PauseInWhichTheCallerDoesNotReadIsNotMeasured) {
  for (int i = 0; i < 5; ++i) {
    StreamToEnd(kOld, 4, milliseconds(100));
  }
  TargetAttempt attempt = Begin(kNew);
  Stream(&attempt, 1, milliseconds(100));
  attempt.SkipPause();
  EXPECT_EQ(attempt.PauseCheckDue(now_), std::nullopt);
  now_ += milliseconds(5'000);
  attempt.CheckPause(now_);
  attempt.OnStreamBytes(now_);
  attempt.Finish(TargetOutcome::kAnswered, true, now_);
  EXPECT_EQ(Counts(true).faults, 0U);
  EXPECT_NEAR(Counts(true).pause_log_sum, std::log(0.1), 0.01);
}

TEST_F(TargetAttemptTest, RejectionIsNoFaultButCounted) {
  TargetAttempt attempt = Begin(kNew);
  attempt.Finish(TargetOutcome::kRejected, true, now_);
  EXPECT_EQ(Counts(true).rejected, 1U);
  EXPECT_EQ(Counts(true).faults, 0U);
  EXPECT_EQ(Counts(true).done, 0U);
}

TEST_F(TargetAttemptTest, StreamOutsideMovesIsNotWatched) {
  SetMove(MoveOutcome::kRolledBack);
  TargetAttempt attempt = Begin(kNew);
  Stream(&attempt, 8, milliseconds(100));
  EXPECT_EQ(attempt.PauseCheckDue(now_), std::nullopt);
  EXPECT_TRUE(moves_.Counts().empty());
}

}  // namespace
}  // namespace hornbeamcleat
