#include "hornbeamcleat/base/supervisor.h"

#include <gtest/gtest.h>

#include <stdexcept>

#include "hornbeamcleat/base/timer_service.h"

namespace hornbeamcleat {
namespace {

class CountingComponent : public Component {
 public:
  explicit CountingComponent(int* starts) : starts_(starts) {}
  const char* Name() const override { return "counting"; }
  void Start(Time) override { ++*starts_; }
  void Drain(Time) override {}
  bool Drained() const override { return true; }
  void Stop() override {}

 private:
  int* starts_;
};

class SupervisorTest : public testing::Test {
 protected:
  void SetUp() override {
    supervisor_->Add(
        [this] { return std::make_unique<CountingComponent>(&starts_); });
    supervisor_->Start(now_);
  }

  void Fail() {
    supervisor_->Guard("counting", now_, [] { throw std::runtime_error("x"); });
  }

  void Advance(Duration d) {
    now_ += d;
    timers_->RunDue(now_);
  }

  Time now_;
  int starts_ = 0;
  std::unique_ptr<TimerService> timers_ = TimerService::Make();
  std::unique_ptr<Supervisor> supervisor_ =
      Supervisor::Make("root", RestartPolicy{}, timers_.get());
};

TEST_F(SupervisorTest, GuardPartThrowsRestartsItAfterDelay) {
  Fail();
  EXPECT_EQ(starts_, 1);
  Advance(RestartPolicy{}.first_delay);
  EXPECT_EQ(starts_, 2);
  EXPECT_FALSE(supervisor_->RestartLimitExceeded());
}

TEST_F(SupervisorTest, GuardTooManyFailuresGivesUp) {
  for (int i = 0; i <= RestartPolicy{}.max_failures; ++i) {
    Fail();
  }
  EXPECT_TRUE(supervisor_->RestartLimitExceeded());
}

}  // namespace
}  // namespace hornbeamcleat
