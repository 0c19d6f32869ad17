#include "src/control/control_core.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/metrics.h"

namespace hornbeamcleat {
namespace {

constexpr int kMembers = 3;
constexpr Duration kStep = std::chrono::milliseconds(100);

// In-memory log shared by all members, with simulated outages.
class FakeLog {
 public:
  std::optional<std::uint64_t> Append(const std::string& stream,
                                      const std::vector<std::string>& payloads,
                                      WallTime now) {
    if (down) {
      return std::nullopt;
    }
    std::vector<LogRecord>& records = streams_[stream];
    const std::uint64_t first = records.size() + 1;
    for (const std::string& payload : payloads) {
      records.push_back({records.size() + 1, now, payload});
    }
    return first;
  }

  LogRead Read(const std::string& stream, std::uint64_t from) {
    const std::vector<LogRecord>& records = streams_[stream];
    LogRead out;
    out.next = records.size() + 1;
    for (std::uint64_t i = from; i < out.next; ++i) {
      out.records.push_back(records[i - 1]);
    }
    return out;
  }

  bool down = false;

 private:
  std::map<std::string, std::vector<LogRecord>> streams_;
};

struct PendingAppend {
  std::string stream;
  std::vector<std::string> payloads;
  std::uint64_t token;
};

class FakeControlDelegate : public ControlDelegate {
 public:
  void Append(const std::string& stream, std::vector<std::string> payloads,
              std::uint64_t token) override {
    appends.push_back({stream, std::move(payloads), token});
  }
  void Send(const Datagram& datagram) override { sent.push_back(datagram); }
  void SendToEntry(const LinkMessage& message) override {
    if (const ViewMessage* view = std::get_if<ViewMessage>(&message)) {
      last_view = *view;
    }
  }
  void SendLoadCommand(const AddressedLoadCommand& order) override {
    orders.push_back(order);
  }
  void FetchState(const std::string& api) override { fetches.push_back(api); }
  void OnConfig(const std::shared_ptr<const ConfigState>&,
                const ConfigUpdate&) override {}

  std::vector<PendingAppend> appends;
  std::vector<Datagram> sent;
  std::vector<AddressedLoadCommand> orders;
  std::vector<std::string> fetches;
  ViewMessage last_view;
};

class ControlCoreTest : public testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i < kMembers; ++i) {
      ControlOptions options;
      options.self.name = "m" + std::to_string(i);
      options.self.address = AddressOf(i);
      options.self.failure_domain = "d";
      options.self.incarnation = 1;
      options.membership.seed = static_cast<std::uint64_t>(i) + 1;
      options.membership.key = "secret";
      options.membership.seeds = {AddressOf(0)};
      options.api = "api" + std::to_string(i);
      cores_.push_back(
          ControlCore::Make(options, &delegates_[i], metrics_.get()));
      cores_[i]->OnEntryConnected(true, now_);
    }
    Run(kStep * 5);
    early_view_ = delegates_[1].last_view;
    Run(std::chrono::seconds(3));
  }

  static Address AddressOf(int i) {
    return {"10.0.0." + std::to_string(i + 1), 1};
  }

  void Run(Duration d) {
    for (const Time end = now_ + d; now_ < end; now_ += kStep) {
      for (int i = 0; i < kMembers; ++i) {
        Step(i);
      }
    }
  }

  void Step(int i) {
    cores_[i]->Tick(now_, Wall());
    for (const PendingAppend& append :
         std::exchange(delegates_[i].appends, {})) {
      const std::optional<std::uint64_t> offset =
          log_.Append(append.stream, append.payloads, Wall());
      cores_[i]->OnAppendFinished(
          append.token, offset ? AppendStatus::kDone : AppendStatus::kFailed,
          offset.value_or(0), now_);
    }
    if (!log_.down && !log_unreachable_.contains(i)) {
      ReadLog(i);
    }
    for (const std::string& api : std::exchange(delegates_[i].fetches, {})) {
      cores_[i]->OnPeerState(*cores_[api.back() - '0']->Config(), now_);
    }
    Deliver(i);
  }

  void ReadLog(int i) {
    for (const char* stream : {kConfigStream, kLeaseStream, kIntentStream}) {
      const std::uint64_t from = cores_[i]->NextOffset(stream);
      cores_[i]->OnLogRead(stream, from, log_.Read(stream, from), now_);
    }
  }

  void Deliver(int from) {
    for (const Datagram& datagram : std::exchange(delegates_[from].sent, {})) {
      for (int i = 0; i < kMembers; ++i) {
        if (AddressOf(i) == datagram.to) {
          cores_[i]->OnDatagram(AddressOf(from), datagram.bytes, now_);
        }
      }
    }
  }

  WallTime Wall() const {
    return WallTime(std::chrono::hours(24 * 365) +
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        now_.time_since_epoch()));
  }

  ApplyStatus Put(int i, const std::string& name, const ResourceSpec& spec) {
    ApplyStatus status = ApplyStatus::kUnknown;
    cores_[i]->Apply(
        PutRecord{{name, 0, spec}, 0},
        [&status](const ApplyResult& result) { status = result.status; }, now_);
    Run(kStep * 3);
    return status;
  }

  void DeclareMove() {
    Put(0, "v1", VersionSpec{"llm", "", 0});
    Put(0, "v2", VersionSpec{"llm", "", 0});
    TargetSpec target;
    target.kind = TargetKind::kService;
    target.address = "10.0.1.1:1";
    target.model = "llm";
    target.version = "v2";
    Put(0, "t", target);
    MoveSpec move;
    move.model = "llm";
    move.from_version = "v1";
    move.to_version = "v2";
    move.deadline = Wall() + std::chrono::hours(1);
    Put(0, "m", move);
  }

  // Entry `i` reports a healthy old version and a new version that always
  // fails.
  void ReportFaults(int i) {
    ReportMessage report;
    report.entry = "m" + std::to_string(i);
    report.incarnation = 1;
    VersionEvidence evidence;
    evidence.model = "llm";
    evidence.workspace = "w";
    evidence.application = "a";
    evidence.version = "v1";
    evidence.done = 5'000;
    report.evidence.push_back(evidence);
    evidence.version = "v2";
    evidence.done = 100;
    evidence.faults = 100;
    report.evidence.push_back(evidence);
    cores_[i]->OnEntryMessage(report, now_);
  }

  bool WithdrawnInViewOf(int i) const {
    return delegates_[i].last_view.view.withdrawn.contains({"llm", "v2"});
  }

  Time now_ = Time(std::chrono::seconds(100));
  FakeLog log_;
  std::set<int> log_unreachable_;  // members that cannot read the log
  FakeControlDelegate delegates_[kMembers];
  ViewMessage early_view_;  // half a second after the start
  std::unique_ptr<Metrics> metrics_ = Metrics::Make();
  std::vector<std::unique_ptr<ControlCore>> cores_;
};

TEST_F(ControlCoreTest, ChangeIsInForceEverywhereWithinThreeSeconds) {
  ASSERT_EQ(Put(0, "gold", TierSpec{0}), ApplyStatus::kApplied);
  log_unreachable_.insert(2);
  Run(std::chrono::seconds(4));
  ASSERT_EQ(Put(0, "silver", TierSpec{1}), ApplyStatus::kApplied);
  Run(std::chrono::seconds(3) - kStep * 3);
  for (int i = 0; i < kMembers; ++i) {
    EXPECT_NE(cores_[i]->Config()->Find("Tier", "silver"), nullptr) << i;
  }
}

TEST_F(ControlCoreTest, FreshMemberGivesNoViewBeforeItCanHaveHeardItsPeers) {
  EXPECT_EQ(early_view_.view.config, nullptr);
  EXPECT_NE(delegates_[1].last_view.view.config, nullptr);
}

TEST_F(ControlCoreTest, ChangeWhileLogIsDownIsUnavailable) {
  log_.down = true;
  EXPECT_EQ(Put(0, "gold", TierSpec{0}), ApplyStatus::kUnavailable);
}

TEST_F(ControlCoreTest,
       FaultAtOneMemberWithdrawsEverywhereInOneSecondWithoutLog) {
  DeclareMove();
  Run(std::chrono::seconds(20));
  log_.down = true;
  Run(std::chrono::seconds(4));
  ReportFaults(1);
  Run(std::chrono::seconds(1));
  for (int i = 0; i < kMembers; ++i) {
    EXPECT_TRUE(WithdrawnInViewOf(i)) << i;
  }
}

TEST_F(ControlCoreTest, WithdrawalIsRecordedOnceTheLogIsBack) {
  DeclareMove();
  Run(std::chrono::seconds(20));
  log_.down = true;
  Run(std::chrono::seconds(4));
  ReportFaults(1);
  Run(std::chrono::seconds(2));
  EXPECT_TRUE(cores_[0]->Config()->withdrawn.empty());
  log_.down = false;
  Run(std::chrono::seconds(20));
  EXPECT_TRUE(cores_[0]->Config()->withdrawn.contains({"llm", "v2"}));
  EXPECT_EQ(cores_[0]->Config()->moves.at("m").phase, "RolledBack");
}

}  // namespace
}  // namespace hornbeamcleat
