#include "src/serving/shared_reads.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/serving/scale_plan.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kKeyLimit = seconds(5);
constexpr Duration kDrainTime = seconds(3);
constexpr SharedReads::Options kOptions = {kKeyLimit, kDrainTime};
/// config_apply_ms and drain_ms of the deployments.
constexpr Duration kApplyLimit = seconds(3);

TopicReport Report(std::uint32_t age_ms, std::uint64_t end = 10) {
  TopicReport report;
  report.topic = static_cast<std::uint8_t>(SharedTopic::kConfig);
  report.era = 1;
  report.end = end;
  report.age_ms = age_ms;
  return report;
}

SharedReadsMessage Stamp(std::uint64_t stamp_us, bool can_read = true) {
  return {stamp_us, can_read, std::nullopt, {}};
}

class SharedReadsTest : public testing::Test {
 protected:
  SharedReadsTest() {
    reads_.SetOptions(kOptions);
    reads_.SetIncarnation(77);
    reads_.SetEnabled(true);
  }

  /// Peers a, b, c, ... that share reads.
  std::vector<SharedReads::Peer> Peers(int count, SharedReads* reads) const {
    std::vector<SharedReads::Peer> peers;
    for (int i = 0; i < count; ++i) {
      peers.push_back({fmt::format("peer{}", i), true});
      reads->OnStamp(peers.back().link, 1, Stamp(1));
    }
    return peers;
  }

  // Finds a name under which this VM has the role among 20 peers.
  std::unique_ptr<SharedReads> WithRole(ReadRole role) const {
    for (int i = 0;; ++i) {
      std::unique_ptr<SharedReads> reads =
          std::make_unique<SharedReads>(fmt::format("self{}", i));
      reads->SetOptions(kOptions);
      reads->SetIncarnation(77);
      reads->SetEnabled(true);
      reads->UpdateRoles(Peers(20, reads.get()), true, now_);
      if (reads->RoleOf(SharedTopic::kConfig) == role) {
        return reads;
      }
    }
  }

  const Time now_{seconds(100)};
  SharedReads reads_{"self"};
};

// A small domain would send more polls than without readers.
TEST_F(SharedReadsTest, UpdateRolesInSmallDomainLeavesVmAlone) {
  EXPECT_TRUE(reads_.UpdateRoles(Peers(3, &reads_), true, now_).empty());
  EXPECT_EQ(reads_.RoleOf(SharedTopic::kConfig), ReadRole::kAlone);
  EXPECT_EQ(reads_.DutyOf(SharedTopic::kConfig), ReadDuty());
}

TEST_F(SharedReadsTest, UpdateRolesWhileDisabledLeavesVmAloneAndSilent) {
  reads_.SetEnabled(false);
  EXPECT_TRUE(reads_.UpdateRoles(Peers(20, &reads_), true, now_).empty());
  EXPECT_EQ(reads_.TakeStamp(now_), std::nullopt);
  EXPECT_TRUE(
      reads_.ReportsOf({SharedTopic::kConfig, 1, 10, now_, {}}, now_).empty());
}

// VMs of another build send no timestamps. Were they taken for readers, nobody
// would report.
TEST_F(SharedReadsTest, UpdateRolesCountsOnlyPeersWithTimestamps) {
  std::vector<SharedReads::Peer> peers = Peers(4, &reads_);
  for (int i = 0; i < 20; ++i) {
    peers.push_back({fmt::format("old{}", i), true});
  }
  reads_.UpdateRoles(peers, true, now_);
  const ReadRole with_others = reads_.RoleOf(SharedTopic::kConfig);
  EXPECT_NE(with_others, ReadRole::kAlone);
  reads_.UpdateRoles(Peers(4, &reads_), true, now_);
  EXPECT_EQ(reads_.RoleOf(SharedTopic::kConfig), with_others);
}

// A VM that isn't ready may have no way to the store.
TEST_F(SharedReadsTest, UpdateRolesNeverMakesUnreadyVmReader) {
  std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kReader);
  reads->UpdateRoles(Peers(20, reads.get()), false, now_);
  EXPECT_EQ(reads->RoleOf(SharedTopic::kConfig), ReadRole::kFollower);
}

// Keys may be valid for a short time only; reports would often be too old.
TEST_F(SharedReadsTest, UpdateRolesWithShortLimitLeavesVmAlone) {
  reads_.SetOptions({seconds(2), seconds(3)});
  reads_.UpdateRoles(Peers(20, &reads_), true, now_);
  EXPECT_EQ(reads_.RoleOf(SharedTopic::kConfig), ReadRole::kAlone);
  EXPECT_NE(reads_.RoleOf(SharedTopic::kTargets), ReadRole::kAlone);
}

TEST_F(SharedReadsTest, UpdateRolesCountsNoPeerWhoseReadsFail) {
  const std::vector<SharedReads::Peer> peers = Peers(4, &reads_);
  reads_.UpdateRoles(peers, true, now_);
  EXPECT_NE(reads_.RoleOf(SharedTopic::kConfig), ReadRole::kAlone);
  reads_.OnStamp("peer0", 1, Stamp(2, false));
  reads_.UpdateRoles(peers, true, now_);
  EXPECT_EQ(reads_.RoleOf(SharedTopic::kConfig), ReadRole::kAlone);
}

TEST_F(SharedReadsTest, UpdateRolesReplacesReaderWithoutReads) {
  const std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kReader);
  const std::vector<SharedReads::Peer> peers = Peers(20, reads.get());
  reads->UpdateRoles(peers, true, now_ + seconds(4));
  EXPECT_EQ(reads->RoleOf(SharedTopic::kConfig), ReadRole::kReader);
  const Time later = now_ + seconds(5);
  reads->UpdateRoles(peers, true, later);
  EXPECT_EQ(reads->RoleOf(SharedTopic::kConfig), ReadRole::kFollower);
  EXPECT_FALSE(reads->TakeStamp(later)->can_read);
  reads->OnOwnRead({SharedTopic::kConfig, 1, 10, later, {}}, later);
  reads->UpdateRoles(peers, true, later);
  EXPECT_EQ(reads->RoleOf(SharedTopic::kConfig), ReadRole::kReader);
}

TEST_F(SharedReadsTest, AcceptDatesProofByOwnTimestampAndAge) {
  const std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kFollower);
  const std::uint64_t stamp = *reads->TakeStamp(now_)->stamp_us;
  const std::optional<TopicProof> proof = reads->Accept(
      Report(700), ClockEcho{77, stamp}, now_ + milliseconds(300));
  ASSERT_TRUE(proof.has_value());
  EXPECT_EQ(proof->at, now_ - milliseconds(700));
  EXPECT_EQ(proof->hold_until,
            proof->at + reads->LimitOf(SharedTopic::kConfig));
}

// The arrival says nothing of the time at which a report was made.
TEST_F(SharedReadsTest, AcceptOfDelayedReportKeepsItsDate) {
  const std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kFollower);
  const std::uint64_t stamp = *reads->TakeStamp(now_)->stamp_us;
  reads->TakeStamp(now_ + seconds(20));
  const std::optional<TopicProof> proof =
      reads->Accept(Report(0), ClockEcho{77, stamp}, now_ + seconds(20));
  ASSERT_TRUE(proof.has_value());
  EXPECT_EQ(proof->at, now_);
  EXPECT_LT(proof->hold_until, now_ + seconds(20));
}

TEST_F(SharedReadsTest, AcceptWithoutUsableTimestampProvesNothing) {
  const std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kFollower);
  const TopicReport report = Report(0);
  // None was sent yet.
  EXPECT_FALSE(reads->Accept(report, ClockEcho{77, 1}, now_).has_value());
  const std::uint64_t stamp = *reads->TakeStamp(now_)->stamp_us;
  EXPECT_TRUE(reads->Accept(report, ClockEcho{77, stamp}, now_).has_value());
  EXPECT_FALSE(reads->Accept(report, std::nullopt, now_).has_value());
  EXPECT_FALSE(
      reads->Accept(report, ClockEcho{77, stamp + 1}, now_).has_value());
  EXPECT_FALSE(reads->Accept(report, ClockEcho{77, ~std::uint64_t{0}}, now_)
                   .has_value());
  // Of the process before a restart, whose clock may have been another one.
  EXPECT_FALSE(reads->Accept(report, ClockEcho{76, stamp}, now_).has_value());
}

TEST_F(SharedReadsTest, AcceptOfOddReportNeverProvesTheFuture) {
  const std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kFollower);
  const std::uint64_t stamp = *reads->TakeStamp(now_)->stamp_us;
  TopicReport report = Report(~std::uint32_t{0});
  report.regained_age_ms = ~std::uint32_t{0};
  const std::optional<TopicProof> proof =
      reads->Accept(report, ClockEcho{77, stamp}, now_);
  ASSERT_TRUE(proof.has_value());
  EXPECT_LT(proof->hold_until, now_);
  report.topic = 2;
  EXPECT_FALSE(reads->Accept(report, ClockEcho{77, stamp}, now_).has_value());
  report.topic = 255;
  EXPECT_FALSE(reads->Accept(report, ClockEcho{77, stamp}, now_).has_value());
}

TEST_F(SharedReadsTest, AcceptByReaderIsRefused) {
  const std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kReader);
  const std::uint64_t stamp = *reads->TakeStamp(now_)->stamp_us;
  EXPECT_FALSE(
      reads->Accept(Report(0), ClockEcho{77, stamp}, now_).has_value());
}

// A frozen reader that wakes must not pass an old read off as a recent one.
TEST_F(SharedReadsTest, ReportsOfStatesAgeOfReadAndTimestampOfEachPeer) {
  const std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kReader);
  reads->OnStamp("peer0", 5, Stamp(4'000));
  const TopicRead read = {SharedTopic::kConfig, 3, 12,
                          now_ - milliseconds(4'000) - Duration(1), now_};
  const std::vector<SharedReads::Outgoing> reports =
      reads->ReportsOf(read, now_);
  ASSERT_EQ(reports.size(), 20U);
  EXPECT_EQ(reports[0].link, "peer0");
  EXPECT_EQ(reports[0].message.echo, (ClockEcho{5, 4'000}));
  ASSERT_EQ(reports[0].message.reports.size(), 1U);
  EXPECT_EQ(reports[0].message.reports[0], (TopicReport{0, 3, 12, 4'001, 0}));
  EXPECT_TRUE(reads->ReportsOf(read, now_ + seconds(60)).empty());
}

TEST_F(SharedReadsTest, ReportsOfFollowerIsEmpty) {
  const std::unique_ptr<SharedReads> reads = WithRole(ReadRole::kFollower);
  EXPECT_TRUE(
      reads->ReportsOf({SharedTopic::kConfig, 1, 10, now_, {}}, now_).empty());
}

// A site of VMs with one store, whose messages may be lost, late, repeated and
// out of order, and whose VMs may be killed, frozen or cut off from the store.
// Polls follow the rules of TopicTail.
class Site {
 public:
  struct Faults {
    double loss = 0;
    double duplicates = 0;
    Duration max_delay = milliseconds(2);
  };

  Site(int vms, int domains, std::uint32_t seed) : random_(seed) {
    const int local = (vms + domains - 1) / domains;
    const ScalePlan plan = PlanForScale(vms, local, kKeyLimit, kDrainTime);
    for (int i = 0; i < vms; ++i) {
      vms_.push_back(std::make_unique<Vm>(fmt::format("10.0.0.{}:1", i)));
      Vm& vm = *vms_.back();
      vm.index = i;
      vm.domain = i % domains;
      vm.clock_offset = seconds(random_() % 5'000);
      vm.reads.SetOptions(kOptions);
      vm.reads.SetIncarnation(1'000 + static_cast<std::uint64_t>(i));
      vm.reads.SetEnabled(plan.is_domain_scoped);
      vm.heartbeat_at = now_ + milliseconds(random_() % 250);
      vm.tails[0].wait = plan.config_poll_timeout;
      vm.tails[1].wait = plan.target_poll_timeout;
      for (int topic = 0; topic < 2; ++topic) {
        vm.tails[topic].next_poll = now_ + milliseconds(random_() % 1'000);
      }
    }
    history_[0] = {{now_, 1}};
    history_[1] = {{now_, 1}};
  }

  struct Tail {
    Duration wait{0};
    std::uint64_t offset = 0;
    bool is_in_flight = false;
    bool is_stopped = false;
    bool reads_without_wait = false;
    Time sent;
    Duration sent_wait{0};
    Time next_poll;
    Time hold_until;
    Time proved;  ///< site time
    int calls = 0;
  };

  struct Vm {
    explicit Vm(const std::string& name) : link(name), reads(name) {}
    std::string link;
    int index = 0;
    int domain = 0;
    Duration clock_offset{0};
    SharedReads reads;
    Time heartbeat_at;
    bool is_killed = false;
    bool is_cut_off = false;  ///< from the store
    bool runs_part = true;
    bool hears_peers = true;
    Time frozen_until;
    std::map<std::string, Time> heard;
    Tail tails[2];
  };

  Vm& At(int i) { return *vms_[static_cast<std::size_t>(i)]; }
  int Count() const { return static_cast<int>(vms_.size()); }
  Time Now() const { return now_; }
  void SetFaults(const Faults& faults) { faults_ = faults; }

  void Append(SharedTopic topic) {
    const int i = static_cast<int>(topic);
    history_[i].emplace_back(now_, End(i) + 1);
  }

  std::vector<int> WithRole(int domain, SharedTopic topic, ReadRole role) {
    std::vector<int> found;
    for (const std::unique_ptr<Vm>& vm : vms_) {
      if (vm->domain == domain && !vm->is_killed &&
          vm->reads.RoleOf(topic) == role) {
        found.push_back(vm->index);
      }
    }
    return found;
  }

  bool IsCurrent(int vm, SharedTopic topic) {
    const int i = static_cast<int>(topic);
    return At(vm).tails[i].offset == End(i);
  }

  int Calls() const {
    int calls = 0;
    for (const std::unique_ptr<Vm>& vm : vms_) {
      calls += vm->tails[0].calls + vm->tails[1].calls;
    }
    return calls;
  }

  /// Largest number of polls that were sent in one step, by followers that no
  /// longer rely on reports.
  int LargestBurst() const { return largest_burst_; }
  /// Proofs dated later than the state was current.
  int FalseProofs() const { return false_proofs_; }

  void Run(Duration time) {
    for (const Time end = now_ + time; now_ < end; now_ += kStep) {
      int burst = 0;
      for (const std::unique_ptr<Vm>& vm : vms_) {
        if (!vm->is_killed && now_ >= vm->frozen_until) {
          RunVm(vm.get(), &burst);
        }
      }
      largest_burst_ = std::max(largest_burst_, burst);
    }
  }

 private:
  static constexpr Duration kStep = milliseconds(10);

  struct Message {
    int from = 0;
    std::uint32_t sequence = 0;
    SharedReadsMessage reads;
  };

  std::uint64_t End(int topic) const { return history_[topic].back().second; }

  std::uint64_t EndAt(int topic, Time time) const {
    std::uint64_t end = 0;
    for (const auto& [at, value] : history_[topic]) {
      end = at <= time ? value : end;
    }
    return end;
  }

  void RunVm(Vm* vm, int* burst) {
    std::multimap<Time, Message>& inbox = inboxes_[vm->index];
    while (!inbox.empty() && inbox.begin()->first <= now_) {
      const Message message = inbox.begin()->second;
      inbox.erase(inbox.begin());
      Receive(vm, message);
    }
    if (now_ >= vm->heartbeat_at) {
      vm->heartbeat_at = now_ + milliseconds(250);
      std::vector<SharedReads::Peer> peers;
      for (const auto& [link, at] : vm->heard) {
        if (now_ - at < milliseconds(900)) {
          peers.push_back({link, true});
        }
      }
      vm->reads.UpdateRoles(peers, true, now_ + vm->clock_offset);
      SharedReadsMessage message;
      if (vm->runs_part) {
        message = vm->reads.TakeStamp(now_ + vm->clock_offset)
                      .value_or(SharedReadsMessage());
      }
      for (const std::unique_ptr<Vm>& peer : vms_) {
        if (peer->domain == vm->domain && peer != vms_[vm->index]) {
          Send(*vm, peer.get(), message);
        }
      }
    }
    RunTail(vm, 0, burst);
    RunTail(vm, 1, burst);
  }

  void Send(const Vm& from, Vm* to, const SharedReadsMessage& message) {
    std::uniform_real_distribution<double> chance;
    const std::uint32_t sequence = ++sequences_[from.index];
    const int copies = chance(random_) < faults_.loss         ? 0
                       : chance(random_) < faults_.duplicates ? 2
                                                              : 1;
    for (int i = 0; i < copies; ++i) {
      const Duration delay(random_() % (faults_.max_delay.count() + 1));
      inboxes_[to->index].emplace(now_ + delay,
                                  Message{from.index, sequence, message});
    }
  }

  void Receive(Vm* vm, const Message& message) {
    Vm& from = At(message.from);
    std::uint32_t& last = last_sequence_[{vm->index, message.from}];
    if (!vm->hears_peers || message.sequence <= last) {
      return;
    }
    last = message.sequence;
    vm->heard[from.link] = now_;
    if (!vm->runs_part) {
      return;
    }
    vm->reads.OnStamp(from.link,
                      1'000 + static_cast<std::uint64_t>(message.from),
                      message.reads);
    for (const TopicReport& report : message.reads.reports) {
      const std::optional<TopicProof> proof =
          vm->reads.Accept(report, message.reads.echo, now_ + vm->clock_offset);
      if (proof.has_value()) {
        Apply(vm, *proof);
      }
    }
  }

  void Apply(Vm* vm, const TopicProof& proof) {
    const int topic = static_cast<int>(proof.topic);
    Tail& tail = vm->tails[topic];
    if (tail.offset == 0 || proof.end < tail.offset) {
      return;
    }
    tail.hold_until =
        std::max(tail.hold_until, proof.hold_until - vm->clock_offset);
    if (proof.end == tail.offset) {
      Prove(vm, topic, proof.at - vm->clock_offset);
    } else if (tail.is_stopped) {
      tail.is_stopped = false;
      tail.next_poll = now_;
    }
  }

  void Prove(Vm* vm, int topic, Time at) {
    Tail& tail = vm->tails[topic];
    tail.proved = std::max(tail.proved, at);
    if (EndAt(topic, at) > tail.offset) {
      ++false_proofs_;
    }
  }

  void RunTail(Vm* vm, int topic, int* burst) {
    Tail& tail = vm->tails[topic];
    const bool is_held = now_ < tail.hold_until;
    if (tail.is_stopped) {
      if (is_held) {
        return;
      }
      tail.is_stopped = false;
      tail.reads_without_wait = true;
      tail.next_poll = now_;
      ++*burst;
    }
    if (!tail.is_in_flight) {
      if (now_ < tail.next_poll) {
        return;
      }
      const ReadDuty duty = vm->reads.DutyOf(static_cast<SharedTopic>(topic));
      tail.is_in_flight = true;
      tail.sent = now_;
      tail.sent_wait = is_held || tail.reads_without_wait ? Duration(0)
                       : duty.max_wait > Duration(0)
                           ? std::min(tail.wait, duty.max_wait)
                           : tail.wait;
      ++tail.calls;
      return;
    }
    if (vm->is_cut_off) {
      if (now_ - tail.sent >= tail.sent_wait + milliseconds(900)) {
        tail.is_in_flight = false;
        tail.next_poll = now_ + milliseconds(400);
      }
      return;
    }
    if (now_ - tail.sent < tail.sent_wait && End(topic) == tail.offset) {
      return;
    }
    tail.offset = End(topic);
    tail.reads_without_wait = false;
    tail.is_in_flight = false;
    Prove(vm, topic, tail.sent);
    const TopicRead read = {static_cast<SharedTopic>(topic), 1, tail.offset,
                            tail.sent + vm->clock_offset, std::nullopt};
    vm->reads.OnOwnRead(read, now_ + vm->clock_offset);
    for (const SharedReads::Outgoing& report :
         vm->reads.ReportsOf(read, now_ + vm->clock_offset)) {
      Send(*vm, &ByLink(report.link), report.message);
    }
    if (now_ < tail.hold_until &&
        vm->reads.DutyOf(static_cast<SharedTopic>(topic)).may_pause) {
      tail.is_stopped = true;
    } else {
      tail.next_poll = now_;
    }
  }

  Vm& ByLink(const std::string& link) {
    for (const std::unique_ptr<Vm>& vm : vms_) {
      if (vm->link == link) {
        return *vm;
      }
    }
    ADD_FAILURE() << "no VM " << link;
    return *vms_.front();
  }

  std::mt19937 random_;
  Time now_{seconds(1'000)};
  Faults faults_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<int, std::multimap<Time, Message>> inboxes_;
  std::map<int, std::uint32_t> sequences_;
  std::map<std::pair<int, int>, std::uint32_t> last_sequence_;
  std::vector<std::pair<Time, std::uint64_t>> history_[2];
  int largest_burst_ = 0;
  int false_proofs_ = 0;
};

class SharedReadsSiteTest : public testing::Test {
 protected:
  static double CallsPerSecond(Site* site, Duration time) {
    const int before = site->Calls();
    site->Run(time);
    return (site->Calls() - before) / ToSeconds(time);
  }

  // Runs until all VMs that can read are current; returns how long it took.
  static Duration TimeToCurrent(Site* site, SharedTopic topic) {
    const Time start = site->Now();
    const auto is_current = [&] {
      for (int i = 0; i < site->Count(); ++i) {
        if (!site->At(i).is_killed && !site->At(i).is_cut_off &&
            !site->IsCurrent(i, topic)) {
          return false;
        }
      }
      return true;
    };
    while (!is_current() && site->Now() - start < seconds(10)) {
      site->Run(milliseconds(10));
    }
    return site->Now() - start;
  }
};

// Each VM polled the store by itself: 740 calls a second at 410 VMs.
TEST_F(SharedReadsSiteTest, IdlePollsGrowWithDomainsInsteadOfVms) {
  const auto measure = [](int vms, int domains, bool runs_part) {
    Site site(vms, domains, 1);
    for (int i = 0; i < vms && !runs_part; ++i) {
      site.At(i).runs_part = false;
      site.At(i).reads.SetEnabled(false);
    }
    site.Run(seconds(6));
    const double calls = CallsPerSecond(&site, seconds(20));
    fmt::print("vms={} domains={} calls_per_second={:.1f}{}\n", vms, domains,
               calls, runs_part ? "" : " without shared reads");
    EXPECT_EQ(site.FalseProofs(), 0);
    return calls;
  };
  // 16 VMs or fewer poll as before.
  EXPECT_NEAR(measure(8, 3, true), measure(8, 3, false), 0.5);
  EXPECT_NEAR(measure(16, 1, true), measure(16, 1, false), 0.5);
  const double few = measure(30, 3, true);
  EXPECT_LT(few, measure(30, 3, false) / 2);
  EXPECT_LT(measure(86, 3, true), few + 2);
  const double many = measure(86, 12, true);
  EXPECT_LT(many, measure(86, 12, false));
  EXPECT_LT(measure(295, 12, true), many + 4);
  EXPECT_LT(many, measure(295, 12, false) / 4);
  EXPECT_LT(measure(410, 12, true), many + 4);
  EXPECT_GT(measure(410, 12, false), 300);
}

TEST_F(SharedReadsSiteTest, ReaderThatDiesAsRecordIsAppendedDelaysNobody) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    for (const SharedTopic topic : kSharedTopics) {
      Site site(60, 3, seed);
      site.Run(seconds(6));
      for (const int reader : site.WithRole(0, topic, ReadRole::kReader)) {
        site.At(reader).is_killed = true;
      }
      site.Append(topic);
      EXPECT_LT(TimeToCurrent(&site, topic), kApplyLimit) << "seed " << seed;
      EXPECT_EQ(site.FalseProofs(), 0);
    }
  }
}

// The readers are heard, but know nothing of the store: the limit on the age of
// proofs is what remains.
TEST_F(SharedReadsSiteTest, AllReadersCutOffFromStoreDelayWithinLimit) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    for (const SharedTopic topic : kSharedTopics) {
      Site site(60, 3, seed);
      site.Run(seconds(6) + milliseconds(70 * seed));
      for (int domain = 0; domain < 3; ++domain) {
        for (const ReadRole role : {ReadRole::kReader, ReadRole::kStandby}) {
          for (const int i : site.WithRole(domain, topic, role)) {
            site.At(i).is_cut_off = true;
          }
        }
      }
      site.Append(topic);
      EXPECT_LT(TimeToCurrent(&site, topic), kApplyLimit) << "seed " << seed;
      EXPECT_EQ(site.FalseProofs(), 0);
      // 54 VMs read by themselves, spread over a sixth of the limit.
      EXPECT_LE(site.LargestBurst(), 15) << "seed " << seed;
    }
  }
}

// A reader that knows nothing of the store would leave its failure domain with
// the proofs of the standby, which are too old.
TEST_F(SharedReadsSiteTest, ReaderCutOffFromStoreIsReplaced) {
  Site site(60, 3, 1);
  site.Run(seconds(6));
  const std::vector<int> readers =
      site.WithRole(0, SharedTopic::kConfig, ReadRole::kReader);
  ASSERT_EQ(readers.size(), 1U);
  site.At(readers[0]).is_cut_off = true;
  site.Run(seconds(10));
  EXPECT_EQ(site.At(readers[0]).reads.RoleOf(SharedTopic::kConfig),
            ReadRole::kFollower);
  EXPECT_EQ(site.WithRole(0, SharedTopic::kConfig, ReadRole::kReader).size(),
            1U);
  EXPECT_LT(CallsPerSecond(&site, seconds(20)), 3 * 4.5);
  site.At(readers[0]).is_cut_off = false;
  site.Append(SharedTopic::kConfig);
  site.Run(seconds(6));
  EXPECT_EQ(site.At(readers[0]).reads.RoleOf(SharedTopic::kConfig),
            ReadRole::kReader);
  EXPECT_EQ(site.FalseProofs(), 0);
}

// A reader that was frozen wakes with replies and messages of before.
TEST_F(SharedReadsSiteTest, FrozenReadersThatWakeProveNothingOld) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    Site site(60, 3, seed);
    site.Run(seconds(6));
    for (int i = 0; i < site.Count(); i += 2) {
      site.At(i).frozen_until = site.Now() + seconds(4);
    }
    site.Run(seconds(2));
    site.Append(SharedTopic::kConfig);
    site.Run(seconds(2));
    EXPECT_LT(TimeToCurrent(&site, SharedTopic::kConfig), kApplyLimit);
    site.Run(seconds(5));
    EXPECT_EQ(site.FalseProofs(), 0) << "seed " << seed;
  }
}

TEST_F(SharedReadsSiteTest,
       LostLateRepeatedAndReorderedMessagesProveNothingFalse) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    Site site(40, 2, seed);
    site.Run(seconds(6));
    site.SetFaults({0.3, 0.3, seconds(3)});
    for (int change = 0; change < 8; ++change) {
      site.Append(SharedTopic::kConfig);
      site.Append(SharedTopic::kTargets);
      EXPECT_LT(TimeToCurrent(&site, SharedTopic::kConfig), kApplyLimit);
      EXPECT_LT(TimeToCurrent(&site, SharedTopic::kTargets), kApplyLimit);
      site.Run(milliseconds(730));
    }
    EXPECT_EQ(site.FalseProofs(), 0) << "seed " << seed;
  }
}

TEST_F(SharedReadsSiteTest, HalfOfVmsWithoutPartPollAsBefore) {
  Site site(60, 3, 1);
  for (int i = 0; i < 60; i += 2) {
    site.At(i).runs_part = false;
    site.At(i).reads.SetEnabled(false);
  }
  site.Run(seconds(6));
  const double calls = CallsPerSecond(&site, seconds(20));
  EXPECT_LT(calls, 30 * (1 / 1.7 + 1 / 2.8) + 3 * 4.5);
  site.Append(SharedTopic::kConfig);
  EXPECT_LT(TimeToCurrent(&site, SharedTopic::kConfig), kApplyLimit);
  EXPECT_EQ(site.FalseProofs(), 0);
}

// VMs that hear nobody read alone; readers that they don't hear don't count.
TEST_F(SharedReadsSiteTest, VmsThatHearNobodyPollAsBefore) {
  Site site(60, 3, 1);
  site.Run(seconds(6));
  for (int i = 0; i < 60; i += 2) {
    site.At(i).hears_peers = false;
  }
  site.Run(seconds(4));
  for (int i = 0; i < 60; i += 2) {
    EXPECT_EQ(site.At(i).reads.RoleOf(SharedTopic::kConfig), ReadRole::kAlone);
  }
  site.Append(SharedTopic::kConfig);
  EXPECT_LT(TimeToCurrent(&site, SharedTopic::kConfig), kApplyLimit);
  EXPECT_EQ(site.FalseProofs(), 0);
}

// Keys are accepted for 5 s after the last proof, less a margin. A VM that
// wakes needs a poll first, as it does when it reads alone.
TEST_F(SharedReadsSiteTest, ProofsStayRecentWhileReadersChange) {
  constexpr Duration kFrozen = seconds(3);
  constexpr Duration kPollAfterWaking = milliseconds(2'500);
  Site site(60, 3, 3);
  site.SetFaults({0.05, 0.05, milliseconds(50)});
  site.Run(seconds(6));
  for (int round = 0; round < 10; ++round) {
    for (const int reader :
         site.WithRole(round % 3, SharedTopic::kConfig, ReadRole::kReader)) {
      site.At(reader).frozen_until = site.Now() + kFrozen;
    }
    for (int step = 0; step < 40; ++step) {
      site.Run(milliseconds(100));
      for (int i = 0; i < site.Count(); ++i) {
        if (site.Now() >= site.At(i).frozen_until + kPollAfterWaking) {
          EXPECT_LT(site.Now() - site.At(i).tails[0].proved, seconds(4))
              << "vm " << i << " round " << round;
        }
      }
    }
  }
  EXPECT_EQ(site.FalseProofs(), 0);
}

}  // namespace
}  // namespace hornbeamcleat
