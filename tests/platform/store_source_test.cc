#include "platform/store_source.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "src/base/codec.h"
#include "src/base/poll_loop.h"
#include "tests/platform/fake_store.h"

namespace hornbeamcleat::platform {
namespace {

using std::chrono::milliseconds;

/// Half of the time in which a configuration must be in force.
constexpr Duration kMaxDelay = milliseconds(1'000);

class StoreSourceTest : public testing::Test, private ServingListener {
 protected:
  StoreSourceTest() { PutConfig(1); }

  void Start() {
    ReadPacing pacing;
    pacing.config_poll_timeout = milliseconds(100);
    pacing.target_poll_timeout = milliseconds(100);
    pacing.member_poll_timeout = milliseconds(100);
    source_ = MakeStoreSource(loop_.get(), clock_.get(), store_.Bound(),
                              milliseconds(1'200), key_limit_, pacing, this);
  }

  void PutConfig(int version) {
    store_.Put(
        "keyed.op", "config",
        fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
  }

  void PutOrder(const std::string& version) {
    store_.Put(
        "keyed.op", "rollout/s",
        fmt::format(R"({{"service":"s","target":"{}","duration_s":12.5}})",
                    version));
  }

  static MoveRecord Record(MoveOutcome outcome) {
    return {"s", "v2", outcome, WallTime(milliseconds(1'700'000'000'123))};
  }

  // Requests the record until it is read back.
  bool IsRecorded(const MoveRecord& record) {
    return RunUntil([&] {
      source_->RecordMove(record);
      return records_ == std::vector<MoveRecord>{record};
    });
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
  FakeStore store_{loop_.get(), clock_.get()};
  std::shared_ptr<const RouteTable> table_;
  std::optional<Time> confirmed_;
  int confirmations_ = 0;
  std::vector<ServingTarget> targets_;
  std::set<std::string> evacuated_;
  int evacuation_reports_ = 0;
  std::vector<VmRecord> members_;
  std::optional<std::vector<PropertyLoss>> refusals_;
  std::vector<MoveOrder> orders_;
  std::vector<MoveRecord> records_;
  std::vector<TopicRead> reads_;
  std::unique_ptr<ServingSource> source_;
  Duration key_limit_ = milliseconds(5'000);

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
  void OnEvacuations(const std::set<std::string>& failure_domains) override {
    evacuated_ = failure_domains;
    ++evacuation_reports_;
  }
  void OnMembers(const std::vector<VmRecord>& members) override {
    members_ = members;
  }
  void OnRefusals(const std::vector<PropertyLoss>& refusals) override {
    refusals_ = refusals;
  }
  void OnMoves(const std::vector<MoveOrder>& orders,
               const std::vector<MoveRecord>& records) override {
    orders_ = orders;
    records_ = records;
  }
  void OnTopicRead(const TopicRead& read) override { reads_.push_back(read); }
};

TEST_F(StoreSourceTest, ConfigIsReadAndFollowed) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  PutConfig(5);
  EXPECT_TRUE(HasVersion(5));
}

// Refusals share the topic of the VMs, which every VM follows anyway.
TEST_F(StoreSourceTest, RefusalIsReadBackAndRemovedBesideMembers) {
  Start();
  ASSERT_TRUE(RunUntil([this] { return refusals_.has_value(); }));
  EXPECT_TRUE(refusals_->empty());
  const VmRecord self = {"127.0.0.1:7", "127.0.0.1:8", "d"};
  source_->Announce(self);
  PropertyLoss refusal;
  refusal.property = {PropertyKind::kPart, "5c1e07a2"};
  refusal.trials = 2;
  source_->RecordRefusal(refusal);
  EXPECT_TRUE(RunUntil([&] {
    return refusals_ == std::vector<PropertyLoss>{refusal} &&
           members_ == std::vector<VmRecord>{self};
  }));
  Start();
  refusals_.reset();
  EXPECT_TRUE(RunUntil(
      [&] { return refusals_ == std::vector<PropertyLoss>{refusal}; }));
  source_->RemoveRefusal(refusal.property);
  EXPECT_TRUE(RunUntil([&] { return refusals_->empty(); }));
  EXPECT_EQ(members_, std::vector<VmRecord>{self});
}

TEST_F(StoreSourceTest, UnreadableRefusalIsSkipped) {
  store_.Put("keyed.vms", "refused/1", "x");
  Start();
  ASSERT_TRUE(RunUntil([this] { return refusals_.has_value(); }));
  EXPECT_TRUE(refusals_->empty());
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

TEST_F(StoreSourceTest, IdleReadConfirmsFreshnessAsOfItsSending) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  const int seen = confirmations_;
  ASSERT_TRUE(RunUntil([&] { return confirmations_ > seen + 1; }));
  EXPECT_GE(clock_->SuspendAwareNow() - *confirmed_, milliseconds(90));
}

TEST_F(StoreSourceTest, InvalidConfigStopsConfirmations) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  store_.Put("keyed.op", "config", "{");
  ASSERT_TRUE(RunUntil([&] {
    return clock_->SuspendAwareNow() - *confirmed_ > milliseconds(400);
  }));
  PutConfig(2);
  EXPECT_TRUE(HasVersion(2));
}

TEST_F(StoreSourceTest, OutageStopsConfirmationsUntilTheStoreRecovers) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  store_.SetFault(FakeStore::Fault::kBusy);
  ASSERT_TRUE(RunUntil([&] {
    return clock_->SuspendAwareNow() - *confirmed_ > milliseconds(500);
  }));
  PutConfig(3);
  store_.SetFault(FakeStore::Fault::kNone);
  EXPECT_TRUE(HasVersion(3));
}

TEST_F(StoreSourceTest, CompactedTopicIsListedAgain) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  store_.SetFault(FakeStore::Fault::kBusy);
  ASSERT_TRUE(RunUntil([&] {
    return clock_->SuspendAwareNow() - *confirmed_ > milliseconds(300);
  }));
  PutConfig(9);
  store_.Compact();
  store_.SetFault(FakeStore::Fault::kNone);
  EXPECT_TRUE(HasVersion(9));
}

TEST_F(StoreSourceTest, TargetsComeLeaveAndVanish) {
  PutTarget("a");
  PutTarget("b");
  PutTarget("c");
  Start();
  ASSERT_TRUE(HasTargets(3));
  PutTarget("a", "draining");
  EXPECT_TRUE(RunUntil([&] { return targets_[0].is_draining; }));
  store_.Put("keyed.servers", "a", "");
  EXPECT_TRUE(HasTargets(2));
}

// After all VMs have started at once, reads of pages fail often. Lists began
// anew each time, and VMs with thousands of targets knew none for half a
// minute.
TEST_F(StoreSourceTest, ListWithFailedPageGoesOnWithThatPage) {
  constexpr int kTargets = 20;
  constexpr int kPageSize = 4;
  for (int i = 0; i < kTargets; ++i) {
    PutTarget(fmt::format("t{:02}", i));
  }
  store_.SetPageSize(kPageSize);
  store_.RejectEachPageOnce();
  Start();
  ASSERT_TRUE(HasTargets(kTargets));
  ASSERT_TRUE(HasVersion(1));
  // The pages of the targets, and one each of configuration and members.
  constexpr int kPages = kTargets / kPageSize + 2;
  EXPECT_LE(store_.PageReads(), 2 * kPages);
}

TEST_F(StoreSourceTest, InvalidTargetEntryIsIgnored) {
  PutTarget("a");
  store_.Put("keyed.servers", "x", R"({"service":7})");
  Start();
  ASSERT_TRUE(HasTargets(1));
  EXPECT_EQ(targets_[0].id, "a");
}

// Guards against a record of another writer that held up the control thread for
// as long as its parse took, with all that the thread reads: a route that
// operators had removed stayed in use, and then keys counted as stale.
TEST_F(StoreSourceTest, UnreadableRecordDelaysNothingElse) {
  struct Key {
    const char* topic;
    const char* key;
  };
  const std::vector<Key> keys = {
      {"keyed.servers", "i-other"}, {"keyed.op", "rollout/other"},
      {"keyed.op", "other"},        {"keyed.status", "rollout/other"},
      {"keyed.vms", "other"},       {"keyed.vms", "refused/other"}};
  const std::vector<std::string> values = {
      "//\"\n" + std::string(60'000, '['), "/*\"*/" + std::string(60'000, '{'),
      std::string(262'144, '['), R"({"service":"s"} x)",
      std::string(100, '\0')};
  PutTarget("a");
  PutOrder("v2");
  // The first ones are there before the start.
  int version = 1;
  for (const std::string& value : values) {
    for (const Key& key : keys) {
      store_.Put(key.topic, key.key, value);
    }
    PutConfig(++version);
    const Time start = clock_->Now();
    if (source_ == nullptr) {
      Start();
    }
    ASSERT_TRUE(HasVersion(version));
    EXPECT_LT(clock_->Now() - start, kMaxDelay) << value.substr(0, 20);
    ASSERT_TRUE(HasTargets(1));
    ASSERT_TRUE(RunUntil([&] { return orders_.size() == 1; }));
  }
  const int seen = confirmations_;
  EXPECT_TRUE(RunUntil([&] { return confirmations_ > seen; }));
}

TEST_F(StoreSourceTest, OrderForMoveIsReadAndItsOutcomeRecorded) {
  Start();
  ASSERT_TRUE(HasVersion(1));
  PutOrder("v2");
  ASSERT_TRUE(RunUntil([&] { return orders_.size() == 1; }));
  EXPECT_EQ(orders_[0], (MoveOrder{"s", "v2", milliseconds(12'500)}));
  ASSERT_TRUE(IsRecorded(Record(MoveOutcome::kInProgress)));
  ASSERT_TRUE(IsRecorded(Record(MoveOutcome::kRolledBack)));
  const std::string status = store_.Newest("keyed.status", "rollout/s");
  EXPECT_NE(status.find(R"("state":"rolled_back")"), std::string::npos);
  EXPECT_NE(status.find(R"("target":"v2")"), std::string::npos);
}

// Another VM records a final outcome while this one is about to record another.
TEST_F(StoreSourceTest, FirstRecordOfEndStands) {
  PutOrder("v2");
  Start();
  ASSERT_TRUE(RunUntil([&] { return orders_.size() == 1; }));
  ASSERT_TRUE(IsRecorded(Record(MoveOutcome::kInProgress)));
  const std::string ended = EncodeMoveRecord(Record(MoveOutcome::kRolledBack));
  store_.Put("keyed.status", "rollout/s", ended);
  source_->RecordMove(Record(MoveOutcome::kCompleted));
  ASSERT_TRUE(RunUntil([&] {
    source_->RecordMove(Record(MoveOutcome::kCompleted));
    return !records_.empty() && records_[0].outcome != MoveOutcome::kInProgress;
  }));
  const int calls = store_.Calls();
  ASSERT_TRUE(RunUntil([&] { return store_.Calls() > calls + 6; }));
  EXPECT_EQ(store_.Newest("keyed.status", "rollout/s"), ended);
}

TEST_F(StoreSourceTest, LostResponseToRecordWritesItOnce) {
  PutOrder("v2");
  Start();
  ASSERT_TRUE(RunUntil([&] { return orders_.size() == 1; }));
  store_.SetFault(FakeStore::Fault::kDropsWriteResponses);
  ASSERT_TRUE(IsRecorded(Record(MoveOutcome::kInProgress)));
  EXPECT_EQ(store_.Records("keyed.status"), 1U);
}

TEST_F(StoreSourceTest, InvalidOrderIsIgnored) {
  PutOrder("v2");
  Start();
  ASSERT_TRUE(RunUntil([&] { return orders_.size() == 1; }));
  store_.Put("keyed.op", "rollout/s", R"({"service":"s","target":3})");
  PutConfig(2);
  ASSERT_TRUE(HasVersion(2));
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].version, "v2");
}

TEST_F(StoreSourceTest, AnnouncementSurvivesLostResponsesAndRemoval) {
  const VmRecord self = {"127.0.0.1:7", "127.0.0.1:8", "d"};
  store_.SetFault(FakeStore::Fault::kDropsWriteResponses);
  Start();
  source_->Announce(self);
  ASSERT_TRUE(RunUntil([&] { return members_.size() == 1; }));
  store_.SetFault(FakeStore::Fault::kNone);
  ASSERT_TRUE(RunUntil(
      [&, calls = store_.Calls()] { return store_.Calls() > calls + 10; }));
  // Another VM removes this one as failed.
  store_.Put("keyed.vms", self.link, "");
  EXPECT_TRUE(
      RunUntil([&] { return !store_.Newest("keyed.vms", self.link).empty(); }));
  source_->Withdraw();
  EXPECT_TRUE(RunUntil([&] { return members_.empty(); }));
}

// The link to other VMs can't send to such an address.
TEST_F(StoreSourceTest, OddVmEntryIsIgnored) {
  Start();
  const VmRecord sound = {"127.0.0.1:7", "127.0.0.1:8", "d"};
  for (const VmRecord& odd : {VmRecord{"127.0.0.1:99999", "127.0.0.1:8", "d"},
                              VmRecord{"nowhere", "127.0.0.1:8", "d"},
                              VmRecord{"nowhere:80", "127.0.0.1:8", "d"},
                              VmRecord{"127.0.0.1:0", "127.0.0.1:8", "d"},
                              VmRecord{"127.0.0.1:9", "127.0.0.1:0x", "d"}}) {
    store_.Put("keyed.vms", odd.link, EncodeBytes(odd));
  }
  store_.Put("keyed.vms", "other key", EncodeBytes(sound));
  store_.Put("keyed.vms", "127.0.0.1:5", std::string(100'000, '['));
  store_.Put("keyed.vms", sound.link, EncodeBytes(sound));
  ASSERT_TRUE(RunUntil([&] { return !members_.empty(); }));
  EXPECT_EQ(members_, (std::vector<VmRecord>{sound}));
}

/// Operators' records that evacuate failure domains.
class EvacuationRecordsTest : public StoreSourceTest {
 protected:
  void Evacuate(const std::string& failure_domain) {
    store_.Put("keyed.op", "evacuate/" + failure_domain, "{}");
  }
  void EndEvacuation(const std::string& failure_domain) {
    store_.Put("keyed.op", "evacuate/" + failure_domain, "");
  }
  bool AreEvacuated(const std::set<std::string>& failure_domains) {
    return RunUntil([&] { return evacuated_ == failure_domains; });
  }
  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    RunUntil([&] { return clock_->Now() >= end; });
  }
};

TEST_F(EvacuationRecordsTest, RecordsOfTwoDomainsAreReadAndRemoved) {
  Evacuate("z1");
  Start();
  ASSERT_TRUE(AreEvacuated({"z1"}));
  const Time written = clock_->Now();
  Evacuate("z2");
  EXPECT_TRUE(AreEvacuated({"z1", "z2"}));
  EXPECT_LT(clock_->Now() - written, kMaxDelay);
  EndEvacuation("z1");
  EXPECT_TRUE(AreEvacuated({"z2"}));
  EndEvacuation("z2");
  EXPECT_TRUE(AreEvacuated({}));
}

// A VM must not serve between the proof of its configuration and the report.
TEST_F(EvacuationRecordsTest, EvacuationIsReportedBeforeFirstConfirmation) {
  Evacuate("z1");
  Start();
  ASSERT_TRUE(RunUntil([this] { return confirmations_ > 0; }));
  EXPECT_EQ(evacuated_, std::set<std::string>{"z1"});
}

// The key alone decides, so that a typing error does not prevent an evacuation.
TEST_F(EvacuationRecordsTest, UnreadableValueIsAnEvacuation) {
  store_.Put("keyed.op", "evacuate/a", "{");
  store_.Put("keyed.op", "evacuate/b", "null");
  store_.Put("keyed.op", "evacuate/c", std::string("\0\xff", 2));
  Start();
  ASSERT_TRUE(AreEvacuated({"a", "b", "c"}));
  store_.Put("keyed.op", "evacuate/d", "false");
  store_.Put("keyed.op", "evacuate/e/f", std::string(100'000, '['));
  EXPECT_TRUE(AreEvacuated({"a", "b", "c", "d", "e/f"}));
}

TEST_F(EvacuationRecordsTest, SameDomainTwiceIsReportedOnce) {
  Evacuate("z1");
  Start();
  ASSERT_TRUE(AreEvacuated({"z1"}));
  const int seen = evacuation_reports_;
  Evacuate("z1");
  PutConfig(7);
  ASSERT_TRUE(HasVersion(7));
  EXPECT_EQ(evacuation_reports_, seen);
}

TEST_F(EvacuationRecordsTest, KeyWithoutDomainIsIgnored) {
  Evacuate("");
  PutConfig(3);
  Start();
  ASSERT_TRUE(HasVersion(3));
  EXPECT_EQ(evacuation_reports_, 0);
}

TEST_F(EvacuationRecordsTest, EvacuationHoldsWhileStoreIsUnavailable) {
  Evacuate("z1");
  Start();
  ASSERT_TRUE(AreEvacuated({"z1"}));
  store_.SetFault(FakeStore::Fault::kBusy);
  EndEvacuation("z1");
  RunFor(milliseconds(3'500));
  EXPECT_EQ(evacuated_, std::set<std::string>{"z1"});
  store_.SetFault(FakeStore::Fault::kNone);
  EXPECT_TRUE(AreEvacuated({}));
}

// The record's removal was compacted away, so only the list shows it.
TEST_F(EvacuationRecordsTest, ListWithoutRecordEndsEvacuation) {
  Evacuate("z1");
  Start();
  ASSERT_TRUE(AreEvacuated({"z1"}));
  store_.SetFault(FakeStore::Fault::kBusy);
  RunFor(milliseconds(300));
  EndEvacuation("z1");
  store_.Compact();
  store_.SetFault(FakeStore::Fault::kNone);
  EXPECT_TRUE(AreEvacuated({}));
}

TEST_F(EvacuationRecordsTest, RestartedVmReadsEvacuationAgain) {
  Evacuate("z1");
  Start();
  ASSERT_TRUE(AreEvacuated({"z1"}));
  source_.reset();
  evacuated_.clear();
  confirmations_ = 0;
  Start();
  ASSERT_TRUE(RunUntil([this] { return confirmations_ > 0; }));
  EXPECT_EQ(evacuated_, std::set<std::string>{"z1"});
}

TEST_F(EvacuationRecordsTest, CopyWithoutRecordEndsNothingForThreeSeconds) {
  store_.Copy();
  Start();
  Evacuate("z1");
  ASSERT_TRUE(AreEvacuated({"z1"}));
  store_.Restore();
  RunFor(milliseconds(2'800));
  EXPECT_EQ(evacuated_, std::set<std::string>{"z1"});
  EXPECT_TRUE(AreEvacuated({}));
}

TEST_F(EvacuationRecordsTest, RecordWrittenAgainAfterRestoreStaysInForce) {
  store_.Copy();
  Start();
  Evacuate("z1");
  ASSERT_TRUE(AreEvacuated({"z1"}));
  const int seen = evacuation_reports_;
  store_.Restore();
  RunFor(milliseconds(2'500));
  Evacuate("z1");
  RunFor(milliseconds(2'000));
  EXPECT_EQ(evacuated_, std::set<std::string>{"z1"});
  EXPECT_EQ(evacuation_reports_, seen);
}

// The copy may hold the empty record of an earlier evacuation.
TEST_F(EvacuationRecordsTest, EarlierRemovalInCopyEndsNothing) {
  Evacuate("z1");
  EndEvacuation("z1");
  store_.Copy();
  Start();
  Evacuate("z1");
  ASSERT_TRUE(AreEvacuated({"z1"}));
  store_.Restore();
  RunFor(milliseconds(2'500));
  EXPECT_EQ(evacuated_, std::set<std::string>{"z1"});
}

/// A store that comes back from a copy and has lost what was written since.
class RestoredStoreTest : public StoreSourceTest {
 protected:
  void PutStartedTarget(const std::string& id, int start_time_ms) {
    store_.Put("keyed.servers", id,
               fmt::format(R"({{"service":"s","address":"127.0.0.1:1",)"
                           R"("slots":2,"state":"ready","born":{}}})",
                           start_time_ms));
  }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    RunUntil([&] { return clock_->Now() >= end; });
  }

  bool HasTarget(const std::string& id) const {
    return std::any_of(
        targets_.begin(), targets_.end(),
        [&id](const ServingTarget& target) { return target.id == id; });
  }
};

// Offsets of the copy are lower, and soon given out again.
TEST_F(RestoredStoreTest, RecordsAtOffsetsGivenOutAgainAreRead) {
  PutTarget("a");
  store_.Copy();
  Start();
  ASSERT_TRUE(HasTargets(1));
  PutTarget("b");
  PutTarget("c");
  ASSERT_TRUE(HasTargets(3));
  store_.Restore();
  PutTarget("d");
  PutTarget("e");
  EXPECT_TRUE(RunUntil([&] { return HasTarget("d") && HasTarget("e"); }));
}

TEST_F(RestoredStoreTest, TargetsThatTheCopyLacksAreUsedUntilWrittenAgain) {
  for (const char* id : {"a", "b", "c"}) {
    PutTarget(id);
  }
  store_.Copy();
  Start();
  ASSERT_TRUE(HasTargets(3));
  PutTarget("new");
  ASSERT_TRUE(HasTargets(4));
  store_.Restore();
  bool was_missing = false;
  const Time written = clock_->Now() + milliseconds(2'000);
  RunUntil([&] {
    was_missing = was_missing || !HasTarget("new");
    return clock_->Now() >= written;
  });
  EXPECT_FALSE(was_missing);
  PutTarget("new");
  RunFor(milliseconds(1'500));
  EXPECT_TRUE(HasTarget("new"));
}

TEST_F(RestoredStoreTest, TargetThatIsNotWrittenAgainIsDropped) {
  for (const char* id : {"a", "b", "c"}) {
    PutTarget(id);
  }
  store_.Copy();
  Start();
  ASSERT_TRUE(HasTargets(3));
  PutTarget("new");
  ASSERT_TRUE(HasTargets(4));
  store_.Restore();
  EXPECT_TRUE(RunUntil([&] { return !HasTarget("new"); }));
  EXPECT_TRUE(HasTarget("a"));
}

// A key that the lost version took away must not count as confirmed.
TEST_F(RestoredStoreTest, OlderConfigurationIsNeitherTakenNorConfirmed) {
  store_.Copy();
  Start();
  ASSERT_TRUE(HasVersion(1));
  PutConfig(2);
  ASSERT_TRUE(HasVersion(2));
  store_.Restore();
  RunFor(milliseconds(200));
  const std::optional<Time> last = confirmed_;
  RunFor(milliseconds(2'500));
  EXPECT_EQ(table_->Config().version, 2);
  EXPECT_EQ(confirmed_, last);
  PutConfig(2);
  EXPECT_TRUE(RunUntil([&] { return confirmed_ != last; }));
  EXPECT_EQ(table_->Config().version, 2);
}

// A VM that never saw the lost version reads its own one, which proves nothing
// until the operators have had time to write again.
TEST_F(RestoredStoreTest, ConfigurationIsConfirmedOnlySomeTimeAfterRestore) {
  store_.Copy();
  Start();
  ASSERT_TRUE(HasVersion(1));
  ASSERT_TRUE(RunUntil([&] { return confirmed_.has_value(); }));
  store_.Restore();
  const Time restored = clock_->SuspendAwareNow();
  RunFor(milliseconds(100));
  const Time last = *confirmed_;
  RunUntil([&] { return *confirmed_ > last; });
  EXPECT_GE(*confirmed_, restored + milliseconds(2'000));
}

// A VM must not refuse all keys after each return of the store.
TEST_F(RestoredStoreTest, ConfirmationWaitsForHalfOfLifeOfKeysAtMost) {
  key_limit_ = milliseconds(2'000);
  store_.Copy();
  Start();
  ASSERT_TRUE(RunUntil([&] { return confirmed_.has_value(); }));
  store_.Restore();
  const Time restored = clock_->SuspendAwareNow();
  RunFor(milliseconds(100));
  const Time last = *confirmed_;
  RunUntil([&] { return *confirmed_ > last; });
  EXPECT_GE(*confirmed_, restored + milliseconds(1'000));
  EXPECT_LT(*confirmed_, restored + milliseconds(1'500));
}

TEST_F(RestoredStoreTest, OwnAnnouncementAndMoveAreWrittenAgain) {
  PutOrder("v2");
  store_.Copy();
  Start();
  const VmRecord self = {"127.0.0.1:7", "127.0.0.1:8", "d"};
  source_->Announce(self);
  ASSERT_TRUE(RunUntil([&] { return members_.size() == 1; }));
  ASSERT_TRUE(IsRecorded(Record(MoveOutcome::kInProgress)));
  ASSERT_TRUE(IsRecorded(Record(MoveOutcome::kCompleted)));
  store_.Restore();
  EXPECT_TRUE(RunUntil([&] {
    return !store_.Newest("keyed.vms", self.link).empty() &&
           store_.Newest("keyed.status", "rollout/s").find("completed") !=
               std::string::npos;
  }));
  EXPECT_TRUE(RunUntil([&] {
    return records_ == std::vector<MoveRecord>{Record(MoveOutcome::kCompleted)};
  }));
}

// The store shows the first state of the move after the first restore, and
// nothing of it after the second one.
TEST_F(RestoredStoreTest, NewestStateOfMoveOutlastsTwoRestores) {
  PutOrder("v2");
  store_.Copy();
  Start();
  ASSERT_TRUE(IsRecorded(Record(MoveOutcome::kInProgress)));
  store_.Restore();
  ASSERT_TRUE(IsRecorded(Record(MoveOutcome::kCompleted)));
  store_.Restore();
  EXPECT_TRUE(RunUntil([&] {
    return store_.Newest("keyed.status", "rollout/s").find("completed") !=
           std::string::npos;
  }));
}

TEST_F(RestoredStoreTest, OtherVmsAreKeptUntilTheyAreWrittenAgain) {
  store_.Copy();
  Start();
  const VmRecord peer = {"127.0.0.1:9", "127.0.0.1:8", "d"};
  store_.Put("keyed.vms", peer.link, EncodeBytes(peer));
  ASSERT_TRUE(RunUntil([&] { return members_.size() == 1; }));
  store_.Restore();
  RunFor(milliseconds(1'500));
  EXPECT_EQ(members_.size(), 1U);
  EXPECT_TRUE(RunUntil([&] { return members_.empty(); }));
}

TEST_F(RestoredStoreTest, TwoRestoresInARowLoseNothing) {
  PutTarget("a");
  store_.Copy();
  Start();
  ASSERT_TRUE(HasTargets(1));
  PutTarget("b");
  ASSERT_TRUE(HasTargets(2));
  store_.Restore();
  RunFor(milliseconds(30));
  store_.Restore();
  PutTarget("b");
  PutTarget("c");
  EXPECT_TRUE(RunUntil([&] { return HasTarget("c"); }));
  EXPECT_TRUE(HasTarget("a"));
  EXPECT_TRUE(HasTarget("b"));
}

}  // namespace
}  // namespace hornbeamcleat::platform
