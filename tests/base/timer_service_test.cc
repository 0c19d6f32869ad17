#include "hornbeamcleat/base/timer_service.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

class TimerServiceTest : public testing::Test {
 protected:
  static Time At(int ms) { return Time(std::chrono::milliseconds(ms)); }

  std::unique_ptr<TimerService> timers_ = TimerService::Make();
  int calls_ = 0;
};

TEST_F(TimerServiceTest, AtDueRunsOnce) {
  const std::unique_ptr<TimerService::Subscription> subscription =
      timers_->At(At(10), [this](Time) { ++calls_; });
  timers_->RunDue(At(9));
  EXPECT_EQ(calls_, 0);
  timers_->RunDue(At(10));
  timers_->RunDue(At(20));
  EXPECT_EQ(calls_, 1);
}

TEST_F(TimerServiceTest, EveryLoopWasLateDropsMissedTicks) {
  const std::unique_ptr<TimerService::Subscription> subscription =
      timers_->Every(At(0), std::chrono::milliseconds(10),
                     [this](Time) { ++calls_; });
  timers_->RunDue(At(95));
  EXPECT_EQ(calls_, 1);
  EXPECT_EQ(timers_->NextDue(), At(100));
}

TEST_F(TimerServiceTest, SubscriptionDestroyedCancelsTimer) {
  timers_->At(At(10), [this](Time) { ++calls_; }).reset();
  timers_->RunDue(At(10));
  EXPECT_EQ(calls_, 0);
}

// A timer that is taken out of the queue while it runs must not come back.
TEST_F(TimerServiceTest, SubscriptionDestroyedInItsCallbackEndsPeriodicTimer) {
  std::unique_ptr<TimerService::Subscription> subscription;
  subscription = timers_->Every(At(0), std::chrono::milliseconds(10),
                                [this, &subscription](Time) {
                                  ++calls_;
                                  subscription.reset();
                                });
  timers_->RunDue(At(0));
  timers_->RunDue(At(100));
  EXPECT_EQ(calls_, 1);
  EXPECT_EQ(timers_->NextDue(), std::nullopt);
}

// Subscriptions may outlive the service.
TEST_F(TimerServiceTest, SubscriptionOutlivesService) {
  const std::unique_ptr<TimerService::Subscription> subscription =
      timers_->At(At(10), [this](Time) { ++calls_; });
  timers_.reset();
  EXPECT_EQ(calls_, 0);
}

}  // namespace
}  // namespace hornbeamcleat
