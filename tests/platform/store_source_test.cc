#include "platform/store_source.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "src/base/poll_loop.h"
#include "tests/platform/store_standin.h"

namespace hornbeamcleat::platform {
namespace {

using std::chrono::milliseconds;

class StoreSourceTest : public testing::Test, private ServingListener {
 protected:
  StoreSourceTest() { PutConfig(1); }

  void Start() {
    ReadPacing pacing;
    pacing.config_wait = milliseconds(100);
    pacing.target_wait = milliseconds(100);
    pacing.member_wait = milliseconds(100);
    source_ = MakeStoreSource(loop_.get(), clock_.get(), store_.Bound(),
                              milliseconds(1'200), pacing, this);
  }

  void PutConfig(int version) {
    store_.Put(
        "keyed.op", "config",
        fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
  }

  void PutTarget(const std::string& id, const std::string& state = "ready") {
    store_.Put("keyed.servers", id,
               fmt::format(R"({{"service":"s","address":"127.0.0.1:1",)"
                           R"("slots":2,"state":"{}"}})",
                           state));
  }

  bool RunUntil(const std::function<bool()>& done) {
    const Time start = clock_->Now();
    while (!done()) {
      if (clock_->Now() - start > milliseconds(8'000)) {
        return false;
      }
      loop_->RunOnce(milliseconds(5));
    }
    return true;
  }

  bool HasVersion(std::int64_t version) {
    return RunUntil([&] {
      return table_ != nullptr && table_->Config().version == version;
    });
  }

  bool HasTargets(std::size_t n) {
    return RunUntil([&] { return targets_.size() == n; });
  }

  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  StoreStandIn store_{loop_.get(), clock_.get()};
  std::shared_ptr<const RouteTable> table_;
  std::optional<Time> confirmed_;
  int confirmations_ = 0;
  std::vector<ServingTarget> targets_;
  std::vector<VmRecord> members_;
  std::unique_ptr<ServingSource> source_;

 private:
  void OnConfig(std::shared_ptr<const RouteTable> table) override {
    table_ = std::move(table);
  }
  void OnConfirmed(Time sent) override {
    confirmed_ = sent;
    ++confirmations_;
  }
  void OnTargets(const std::vector<ServingTarget>& targets) override {
    targets_ = targets;
  }
  void OnMembers(const std::vector<VmRecord>& members) override {
    members_ = members;
  }
};

TEST_F(StoreSourceTest, ConfigIsReadAndFollowed) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  PutConfig(5);
  EXPECT_TRUE(HasVersion(5));
}

TEST_F(StoreSourceTest, ConfigWithLowerVersionIsNotReported) {
  PutConfig(5);
  Start();
  ASSERT_TRUE(HasVersion(5));
  PutConfig(4);
  const int seen = confirmations_;
  ASSERT_TRUE(RunUntil([&] { return confirmations_ > seen + 1; }));
  EXPECT_EQ(table_->Config().version, 5);
}

TEST_F(StoreSourceTest, IdleReadsProveFreshnessFromWhenTheyWereSent) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  const int seen = confirmations_;
  ASSERT_TRUE(RunUntil([&] { return confirmations_ > seen + 1; }));
  EXPECT_GE(clock_->SuspendAwareNow() - *confirmed_, milliseconds(90));
}

TEST_F(StoreSourceTest, UnreadableConfigProvesNothing) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  store_.Put("keyed.op", "config", "{");
  ASSERT_TRUE(RunUntil([&] {
    return clock_->SuspendAwareNow() - *confirmed_ > milliseconds(400);
  }));
  PutConfig(2);
  EXPECT_TRUE(HasVersion(2));
}

TEST_F(StoreSourceTest, OutageEndsProofsUntilTheStoreIsBack) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  store_.SetFault(StoreStandIn::Fault::kBusy);
  ASSERT_TRUE(RunUntil([&] {
    return clock_->SuspendAwareNow() - *confirmed_ > milliseconds(500);
  }));
  PutConfig(3);
  store_.SetFault(StoreStandIn::Fault::kNone);
  EXPECT_TRUE(HasVersion(3));
}

TEST_F(StoreSourceTest, DroppedHistoryIsListedAnew) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  store_.SetFault(StoreStandIn::Fault::kBusy);
  ASSERT_TRUE(RunUntil([&] {
    return clock_->SuspendAwareNow() - *confirmed_ > milliseconds(300);
  }));
  PutConfig(9);
  store_.Compact();
  store_.SetFault(StoreStandIn::Fault::kNone);
  EXPECT_TRUE(HasVersion(9));
}

TEST_F(StoreSourceTest, TargetsComeLeaveAndVanish) {
  PutTarget("a");
  PutTarget("b");
  PutTarget("c");
  Start();
  ASSERT_TRUE(HasTargets(3));
  PutTarget("a", "draining");
  EXPECT_TRUE(RunUntil([&] { return targets_[0].is_leaving; }));
  store_.Put("keyed.servers", "a", "");
  EXPECT_TRUE(HasTargets(2));
}

TEST_F(StoreSourceTest, EntryOfAnotherWriterNamesNoTarget) {
  PutTarget("a");
  store_.Put("keyed.servers", "x", R"({"service":7})");
  Start();
  ASSERT_TRUE(HasTargets(1));
  EXPECT_EQ(targets_[0].id, "a");
}

TEST_F(StoreSourceTest, AnnouncementSurvivesLostAnswersAndRemoval) {
  const VmRecord self = {"127.0.0.1:7", "127.0.0.1:8", "d"};
  store_.SetFault(StoreStandIn::Fault::kLosesWrites);
  Start();
  source_->Announce(self);
  ASSERT_TRUE(RunUntil([&] { return members_.size() == 1; }));
  store_.SetFault(StoreStandIn::Fault::kNone);
  ASSERT_TRUE(RunUntil(
      [&, calls = store_.Calls()] { return store_.Calls() > calls + 10; }));
  // Another VM took this one for gone.
  store_.Put("keyed.vms", self.link, "");
  EXPECT_TRUE(
      RunUntil([&] { return !store_.Newest("keyed.vms", self.link).empty(); }));
  source_->Withdraw();
  EXPECT_TRUE(RunUntil([&] { return members_.empty(); }));
}

}  // namespace
}  // namespace hornbeamcleat::platform
