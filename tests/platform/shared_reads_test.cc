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
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/serving/serving_source.h"
#include "platform/store_source.h"
#include "platform/wire_codec.h"
#include "src/base/poll_loop.h"
#include "src/base/socket_address.h"
#include "src/net/file_descriptor.h"
#include "src/relay/http_codec.h"
#include "src/relay/relay.h"
#include "src/relay/relay_options.h"
#include "src/serving/scale_plan.h"
#include "tests/platform/fake_store.h"

namespace hornbeamcleat::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kKeyLimit = seconds(5);
constexpr Duration kDrainTime = seconds(3);
constexpr Duration kVanishedUse = milliseconds(1'200);
constexpr Duration kMaxTestTime = seconds(12);

/// Control thread of one VM, on the test's loop.
class Control : public ServingListener {
 public:
  Control(PollLoop* loop, const Clock* clock, const Address& store,
          const ReadPacing& pacing)
      : source_(MakeStoreSource(loop, clock, store, kVanishedUse, kKeyLimit,
                                pacing, this)) {}

  void SetRelay(Relay* relay) { relay_ = relay; }
  ServingSource* Source() { return source_.get(); }
  std::int64_t Version() const {
    return table_ == nullptr ? 0 : table_->Config().version;
  }
  std::optional<Time> Confirmed() const { return confirmed_; }
  std::size_t TargetCount() const { return targets_; }
  const std::vector<TopicRead>& Reads() const { return reads_; }
  const std::set<std::string>& Evacuations() const { return evacuations_; }
  std::optional<TopicRead> LastRead(SharedTopic topic) const {
    const auto last = std::find_if(
        reads_.rbegin(), reads_.rend(),
        [topic](const TopicRead& read) { return read.topic == topic; });
    return last == reads_.rend() ? std::nullopt
                                 : std::optional<TopicRead>(*last);
  }

 private:
  void OnConfig(std::shared_ptr<const RouteTable> table) override {
    table_ = table;
    if (relay_ != nullptr) {
      relay_->SetConfig(std::move(table));
    }
  }
  void OnEvacuations(const std::set<std::string>& domains) override {
    evacuations_ = domains;
  }
  void OnConfirmed(Time sent) override {
    confirmed_ = sent;
    if (relay_ != nullptr) {
      relay_->OnConfigConfirmed(sent);
    }
  }
  void OnTargets(const std::vector<ServingTarget>& targets) override {
    targets_ = targets.size();
  }
  void OnMembers(const std::vector<VmRecord>&) override {}
  void OnRefusals(const std::vector<PropertyLoss>&) override {}
  void OnMoves(const std::vector<MoveOrder>&,
               const std::vector<MoveRecord>&) override {}
  void OnTopicRead(const TopicRead& read) override {
    reads_.push_back(read);
    if (relay_ != nullptr) {
      relay_->OnTopicRead(read);
    }
  }

  Relay* relay_ = nullptr;
  std::shared_ptr<const RouteTable> table_;
  std::optional<Time> confirmed_;
  std::size_t targets_ = 0;
  std::set<std::string> evacuations_;
  std::vector<TopicRead> reads_;
  std::unique_ptr<ServingSource> source_;
};

/// Clock of a VM that the test suspends.
class SuspendableClock : public Clock {
 public:
  Time Now() const override { return clock_->Now(); }
  Time SuspendAwareNow() const override {
    return clock_->SuspendAwareNow() + suspended_;
  }
  WallTime WallNow() const override { return clock_->WallNow(); }
  void Suspend(Duration time) { suspended_ += time; }

 private:
  const std::unique_ptr<Clock> clock_ = Clock::Make();
  Duration suspended_{0};
};

class SharedStoreReadsTest : public testing::Test {
 protected:
  SharedStoreReadsTest() { PutConfig(1); }

  static ReadPacing Pacing() {
    ReadPacing pacing;
    pacing.config_poll_timeout = milliseconds(100);
    pacing.target_poll_timeout = milliseconds(100);
    pacing.member_poll_timeout = seconds(30);
    return pacing;
  }

  void PutConfig(int version) {
    store_.Put(
        "keyed.op", "config",
        fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
  }

  void PutTarget(const std::string& id) {
    store_.Put("keyed.servers", id,
               R"({"service":"s","address":"127.0.0.1:1","slots":2,)"
               R"("state":"ready"})");
  }

  bool RunUntil(const std::function<bool()>& done) {
    const Time start = clock_->Now();
    while (!done()) {
      if (clock_->Now() - start > kMaxTestTime) {
        return false;
      }
      loop_->RunOnce(milliseconds(5));
    }
    return true;
  }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    RunUntil([&] { return clock_->Now() >= end; });
  }

  /// Starts a VM that may pause and has read both topics itself.
  void StartFollower() {
    control_ = std::make_unique<Control>(loop_.get(), clock_.get(),
                                         store_.Bound(), Pacing());
    for (const SharedTopic topic :
         {SharedTopic::kConfig, SharedTopic::kTargets}) {
      control_->Source()->SetReadDuty(topic, {true, Duration(0)});
    }
    ASSERT_TRUE(RunUntil([this] {
      return control_->LastRead(SharedTopic::kConfig).has_value() &&
             control_->LastRead(SharedTopic::kTargets).has_value();
    }));
  }

  TopicProof Proof(SharedTopic topic, Duration hold) const {
    const TopicRead read = *control_->LastRead(topic);
    const Time now = clock_->SuspendAwareNow();
    return {topic, read.era, read.end, now, now + hold, std::nullopt};
  }

  void Prove(SharedTopic topic, Duration hold) {
    control_->Source()->OnTopicProof(Proof(topic, hold));
  }

  /// Holds both topics and waits until the last polls have ended.
  void Hold(Duration hold) {
    Prove(SharedTopic::kConfig, hold);
    Prove(SharedTopic::kTargets, hold);
    RunFor(milliseconds(250));
  }

  std::unique_ptr<SuspendableClock> clock_ =
      std::make_unique<SuspendableClock>();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  FakeStore store_{loop_.get(), clock_.get()};
  std::unique_ptr<Control> control_;
};

TEST_F(SharedStoreReadsTest, VmWithRecentProofsSendsNoPolls) {
  StartFollower();
  Hold(seconds(5));
  const int calls = store_.Calls();
  const Time before = clock_->SuspendAwareNow();
  RunFor(milliseconds(600));
  Prove(SharedTopic::kConfig, seconds(5));
  EXPECT_EQ(store_.Calls(), calls);
  EXPECT_GT(*control_->Confirmed(), before);
}

// A store that has never come back from a copy states no era. Its reads were
// not reported, so that all VMs went on polling.
TEST_F(SharedStoreReadsTest, StoreWithoutEraIsPolledByReadersOnly) {
  store_.SetStatesEra(false);
  StartFollower();
  Hold(seconds(5));
  const int calls = store_.Calls();
  RunFor(milliseconds(600));
  EXPECT_EQ(store_.Calls(), calls);
}

// A VM whose readers fell silent must not rely on the last proof for long.
TEST_F(SharedStoreReadsTest, VmWithoutFurtherProofsPollsAgain) {
  StartFollower();
  Hold(milliseconds(700));
  const int calls = store_.Calls();
  PutConfig(2);
  RunFor(milliseconds(100));
  EXPECT_EQ(store_.Calls(), calls);
  EXPECT_TRUE(RunUntil([this] { return control_->Version() == 2; }));
  EXPECT_TRUE(RunUntil([&] { return store_.Calls() >= calls + 6; }));
}

// A long poll proves the state at its start only once it ends. Waiting in it
// right after the hold let the latest proof age to the sum of both.
TEST_F(SharedStoreReadsTest, FirstReadAfterHoldDoesNotWaitInStore) {
  StartFollower();
  Hold(milliseconds(700));
  ReadPacing pacing = Pacing();
  pacing.config_poll_timeout = seconds(5);
  control_->Source()->SetPacing(pacing);
  const Time confirmed = *control_->Confirmed();
  const Time start = clock_->Now();
  EXPECT_TRUE(RunUntil([&] { return *control_->Confirmed() > confirmed; }));
  EXPECT_LT(clock_->Now() - start, seconds(3));
}

TEST_F(SharedStoreReadsTest, VmWithoutLeaveToPauseIgnoresProofs) {
  StartFollower();
  control_->Source()->SetReadDuty(SharedTopic::kConfig, ReadDuty());
  control_->Source()->SetReadDuty(SharedTopic::kTargets, ReadDuty());
  Hold(seconds(5));
  const int calls = store_.Calls();
  EXPECT_TRUE(RunUntil([&] { return store_.Calls() >= calls + 4; }));
}

TEST_F(SharedStoreReadsTest, VmThatBecomesReaderPollsAtOnce) {
  StartFollower();
  Hold(seconds(30));
  const int calls = store_.Calls();
  control_->Source()->SetReadDuty(SharedTopic::kConfig,
                                  {false, milliseconds(40)});
  EXPECT_TRUE(RunUntil([&] { return store_.Calls() >= calls + 4; }));
}

TEST_F(SharedStoreReadsTest, RecordsThatPeerHasReadAreReadAtOnce) {
  StartFollower();
  Hold(seconds(30));
  PutConfig(2);
  PutTarget("a");
  for (const SharedTopic topic :
       {SharedTopic::kConfig, SharedTopic::kTargets}) {
    TopicProof proof = Proof(topic, seconds(30));
    ++proof.end;
    control_->Source()->OnTopicProof(proof);
  }
  EXPECT_TRUE(RunUntil([this] {
    return control_->Version() == 2 && control_->TargetCount() == 1;
  }));
  // The VM relies on reports again.
  RunFor(milliseconds(100));
  const int calls = store_.Calls();
  RunFor(milliseconds(400));
  EXPECT_EQ(store_.Calls(), calls);
}

// The proof holds for a state that this VM doesn't have yet.
TEST_F(SharedStoreReadsTest, ProofOfLaterOffsetConfirmsNothingWhileStoreFails) {
  StartFollower();
  Hold(seconds(30));
  store_.SetFault(FakeStore::Fault::kBusy);
  PutConfig(2);
  const Time before = clock_->SuspendAwareNow();
  TopicProof proof = Proof(SharedTopic::kConfig, seconds(30));
  ++proof.end;
  control_->Source()->OnTopicProof(proof);
  RunFor(milliseconds(300));
  EXPECT_LE(*control_->Confirmed(), before);
  store_.SetFault(FakeStore::Fault::kNone);
  EXPECT_TRUE(RunUntil([this] { return control_->Version() == 2; }));
}

// Timers don't advance during a suspension, but what was proved gets old.
TEST_F(SharedStoreReadsTest, VmThatWasSuspendedPollsAgainByItself) {
  StartFollower();
  Hold(seconds(20));
  const int calls = store_.Calls();
  clock_->Suspend(seconds(30));
  EXPECT_TRUE(RunUntil([&] { return store_.Calls() >= calls + 4; }));
}

TEST_F(SharedStoreReadsTest, ProofAfterSuspensionCausesOwnReadFirst) {
  StartFollower();
  Hold(seconds(20));
  const int calls = store_.Calls();
  clock_->Suspend(milliseconds(500));
  const Time woken = clock_->SuspendAwareNow();
  Prove(SharedTopic::kConfig, seconds(20));
  EXPECT_TRUE(RunUntil([&] {
    return store_.Calls() >= calls + 2 &&
           control_->LastRead(SharedTopic::kConfig)->sent >= woken &&
           control_->LastRead(SharedTopic::kTargets)->sent >= woken;
  }));
}

// Two readers that disagree: the one behind is reordered or slow.
TEST_F(SharedStoreReadsTest, ProofOfEarlierOffsetProvesNothing) {
  StartFollower();
  PutConfig(2);
  ASSERT_TRUE(RunUntil([this] { return control_->Version() == 2; }));
  RunFor(milliseconds(250));
  TopicProof proof = Proof(SharedTopic::kConfig, seconds(30));
  --proof.end;
  control_->Source()->OnTopicProof(proof);
  const int calls = store_.Calls();
  EXPECT_TRUE(RunUntil([&] { return store_.Calls() >= calls + 4; }));
}

// Offsets are given out again after a restore and mean other records.
TEST_F(SharedStoreReadsTest, ProofOfOtherEraProvesNothingAndIsReadAtOnce) {
  StartFollower();
  Hold(seconds(30));
  const Time confirmed = *control_->Confirmed();
  const Time now = clock_->SuspendAwareNow();
  const int calls = store_.Calls();
  for (const std::uint64_t era : {0U, 2U}) {
    TopicProof proof = Proof(SharedTopic::kConfig, seconds(30));
    proof.era = era;
    proof.at = now + seconds(1);
    control_->Source()->OnTopicProof(proof);
    EXPECT_EQ(*control_->Confirmed(), confirmed);
  }
  EXPECT_TRUE(RunUntil([&] { return store_.Calls() > calls; }));
  EXPECT_TRUE(RunUntil([&] { return *control_->Confirmed() >= now; }));
}

// A follower that is held makes no read of its own after the time for writing
// again, so that only proofs can end an evacuation that the copy lacks.
TEST_F(SharedStoreReadsTest, ProofsEndEvacuationThatRestoredStoreLacks) {
  store_.Copy();
  StartFollower();
  store_.Put("keyed.op", "evacuate/d", "{}");
  ASSERT_TRUE(RunUntil([this] { return !control_->Evacuations().empty(); }));
  Hold(seconds(30));
  store_.Restore();
  TopicProof proof = Proof(SharedTopic::kConfig, seconds(30));
  proof.era = 2;
  control_->Source()->OnTopicProof(proof);
  ASSERT_TRUE(RunUntil(
      [this] { return control_->LastRead(SharedTopic::kConfig)->era == 2; }));
  EXPECT_FALSE(control_->Evacuations().empty());
  EXPECT_TRUE(RunUntil([this] {
    Prove(SharedTopic::kConfig, seconds(30));
    return control_->Evacuations().empty();
  }));
}

// A restored store proves nothing until its operators have written again.
TEST_F(SharedStoreReadsTest, ProofsRightAfterRestoreConfirmNothing) {
  store_.Copy();
  StartFollower();
  Hold(seconds(30));
  store_.Restore();
  TopicProof proof = Proof(SharedTopic::kConfig, seconds(30));
  proof.era = 2;
  control_->Source()->OnTopicProof(proof);
  ASSERT_TRUE(RunUntil(
      [this] { return control_->LastRead(SharedTopic::kConfig)->era == 2; }));
  const Time restored = clock_->SuspendAwareNow();
  const Time confirmed = *control_->Confirmed();
  while (clock_->SuspendAwareNow() - restored < milliseconds(1'500)) {
    Prove(SharedTopic::kConfig, seconds(30));
    EXPECT_EQ(*control_->Confirmed(), confirmed);
    RunFor(milliseconds(100));
  }
  EXPECT_TRUE(RunUntil([&] {
    Prove(SharedTopic::kConfig, seconds(30));
    return *control_->Confirmed() > confirmed;
  }));
}

// Entries that lapse during an outage show only in a complete list, and a VM
// that doesn't poll notices no outage.
TEST_F(SharedStoreReadsTest, OutageThatPeerSawCausesOneList) {
  StartFollower();
  Hold(seconds(30));
  const int pages = store_.PageReads();
  TopicProof proof = Proof(SharedTopic::kTargets, seconds(30));
  proof.list_after = clock_->SuspendAwareNow();
  control_->Source()->OnTopicProof(proof);
  EXPECT_TRUE(RunUntil([&] { return store_.PageReads() > pages; }));
  RunFor(milliseconds(300));
  for (int i = 0; i < 5; ++i) {
    control_->Source()->OnTopicProof(proof);
    RunFor(milliseconds(50));
  }
  EXPECT_EQ(store_.PageReads(), pages + 1);
}

// The start of a VM is no outage; otherwise, each VM that becomes a reader
// would make its peers list the topic again.
TEST_F(SharedStoreReadsTest, OutageIsReportedAndStartIsNot) {
  StartFollower();
  EXPECT_FALSE(control_->LastRead(SharedTopic::kConfig)->regained.has_value());
  store_.SetFault(FakeStore::Fault::kBusy);
  RunFor(milliseconds(1'000));
  store_.SetFault(FakeStore::Fault::kNone);
  const Time regained = clock_->SuspendAwareNow();
  EXPECT_TRUE(RunUntil([&] {
    return control_->LastRead(SharedTopic::kConfig)->regained >= regained;
  }));
}

// An invalid configuration may have taken away a key.
TEST_F(SharedStoreReadsTest, ProofWithInvalidConfigurationConfirmsNothing) {
  StartFollower();
  store_.Put("keyed.op", "config", "{");
  const std::uint64_t end = control_->LastRead(SharedTopic::kConfig)->end;
  ASSERT_TRUE(RunUntil([&] {
    return control_->LastRead(SharedTopic::kConfig)->end == end + 1;
  }));
  const Time confirmed = *control_->Confirmed();
  Prove(SharedTopic::kConfig, seconds(30));
  EXPECT_EQ(*control_->Confirmed(), confirmed);
}

/// VMs of one failure domain in a deployment of more than 16, with real links.
class SharedStoreReadsRelayTest : public SharedStoreReadsTest {
 protected:
  static constexpr int kVms = 10;
  static constexpr int kRemoteVms = 12;

  struct Vm {
    std::unique_ptr<Control> control;
    std::unique_ptr<Relay> relay;
    ReadDuty duty;
  };

  static ReadPacing PacingFor(const ScalePlan& plan) {
    return {plan.config_poll_timeout, plan.target_poll_timeout, seconds(60),
            plan.min_config_interval, plan.min_target_interval};
  }

  static Address FreeUdpAddress() {
    const FileDescriptor fd(socket(AF_INET, SOCK_DGRAM, 0));
    const sockaddr_in any = ToSocketAddress({"127.0.0.1", 0});
    EXPECT_EQ(
        bind(fd.Get(), reinterpret_cast<const sockaddr*>(&any), sizeof(any)),
        0);
    return BoundAddress(fd.Get());
  }

  static RelayOptions Options() {
    RelayOptions options;
    options.name = "vm";
    options.failure_domain = "d";
    const Address any = {"127.0.0.1", 0};
    options.caller_address = any;
    options.ready_address = any;
    options.directory_address = any;
    options.metrics_address = any;
    options.peer_address = FreeUdpAddress();
    options.memory_bytes = std::size_t{64} << 20;
    options.max_connections = 100;
    options.target_drain_time = kDrainTime;
    options.admission.key_limit = kKeyLimit;
    options.operator_limit = kKeyLimit;
    options.admission.losses.limit = 2;
    options.admission.losses.refusal_time = seconds(30);
    return options;
  }

  void StartVm() {
    vms_.push_back(std::make_unique<Vm>());
    Vm* vm = vms_.back().get();
    vm->control = std::make_unique<Control>(
        loop_.get(), clock_.get(), store_.Bound(),
        PacingFor(PlanForScale(1, 1, kKeyLimit, kDrainTime)));
    Relay::Callbacks callbacks;
    callbacks.remove_member = [](const VmRecord&) {};
    callbacks.on_scale = [vm](const ScalePlan& plan) {
      vm->control->Source()->SetPacing(PacingFor(plan));
    };
    callbacks.record_move = [](const MoveRecord&) {};
    callbacks.record_refusal = [](const PropertyLoss&) {};
    callbacks.remove_refusal = [](RequestProperty) {};
    callbacks.set_read_duty = [vm](SharedTopic topic, const ReadDuty& duty) {
      vm->control->Source()->SetReadDuty(topic, duty);
      if (topic == SharedTopic::kConfig) {
        vm->duty = duty;
      }
    };
    callbacks.on_topic_proof = [vm](const TopicProof& proof) {
      vm->control->Source()->OnTopicProof(proof);
    };
    vm->relay = Relay::Make(loop_.get(), clock_.get(), codec_.get(),
                            metrics_.get(), Options(), std::move(callbacks));
    vm->control->SetRelay(vm->relay.get());
  }

  void StartVms(int remote_vms) {
    for (int i = 0; i < kVms; ++i) {
      StartVm();
    }
    std::vector<VmRecord> members;
    for (const std::unique_ptr<Vm>& vm : vms_) {
      members.push_back(vm->relay->SelfRecord());
    }
    for (int i = 0; i < remote_vms; ++i) {
      members.push_back({FreeUdpAddress().ToString(), "127.0.0.1:9",
                         fmt::format("far{}", i % 3)});
    }
    for (const std::unique_ptr<Vm>& vm : vms_) {
      vm->relay->SetMembers(members);
    }
  }

  int Followers() const {
    return static_cast<int>(
        std::count_if(vms_.begin(), vms_.end(),
                      [](const auto& vm) { return vm->duty.may_pause; }));
  }

  Vm* Reader() {
    const auto reader = std::find_if(
        vms_.begin(), vms_.end(),
        [](const auto& vm) { return vm->duty.max_wait > Duration(0); });
    return reader == vms_.end() ? nullptr : reader->get();
  }

  // Whether the store is called at most `calls` times in some span of 2 s.
  bool HasQuietSpan(int calls) {
    for (int i = 0; i < 5; ++i) {
      const int before = store_.Calls();
      RunFor(seconds(2));
      if (store_.Calls() - before <= calls) {
        return true;
      }
    }
    return false;
  }

  std::unique_ptr<Metrics> metrics_ = Metrics::Make();
  std::unique_ptr<HttpCodec> codec_ = MakeWireCodec();
  std::vector<std::unique_ptr<Vm>> vms_;
};

// Alone, ten VMs send 19 polls of the two topics in 2 s.
TEST_F(SharedStoreReadsRelayTest, OnlyReadersPollAndAllFollowChanges) {
  StartVms(kRemoteVms);
  ASSERT_TRUE(RunUntil([this] { return Followers() == kVms - 2; }));
  EXPECT_TRUE(HasQuietSpan(12));
  PutConfig(2);
  const Time changed = clock_->Now();
  EXPECT_TRUE(RunUntil([this] {
    return std::all_of(vms_.begin(), vms_.end(), [](const auto& vm) {
      return vm->control->Version() == 2;
    });
  }));
  EXPECT_LT(clock_->Now() - changed, seconds(3));
}

TEST_F(SharedStoreReadsRelayTest, ReaderThatStopsAsConfigChangesIsReplaced) {
  StartVms(kRemoteVms);
  ASSERT_TRUE(RunUntil(
      [this] { return Followers() == kVms - 2 && Reader() != nullptr; }));
  RunFor(seconds(3));
  const Vm* reader = Reader();
  ASSERT_NE(reader, nullptr);
  std::erase_if(vms_, [reader](const auto& vm) { return vm.get() == reader; });
  PutConfig(2);
  const Time changed = clock_->Now();
  EXPECT_TRUE(RunUntil([this] {
    return std::all_of(vms_.begin(), vms_.end(), [](const auto& vm) {
      return vm->control->Version() == 2;
    });
  }));
  EXPECT_LT(clock_->Now() - changed, seconds(3));
  EXPECT_TRUE(RunUntil([this] { return Reader() != nullptr; }));
}

TEST_F(SharedStoreReadsRelayTest, SixteenVmsPollAsBefore) {
  StartVms(16 - kVms);
  RunFor(seconds(2));
  EXPECT_EQ(Followers(), 0);
  EXPECT_EQ(Reader(), nullptr);
}

}  // namespace
}  // namespace hornbeamcleat::platform
