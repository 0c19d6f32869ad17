#include "src/serving/vm_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/serving/scale_plan.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class VmDirectoryTest : public testing::Test {
 protected:
  static VmRecord Record(const std::string& name, const std::string& domain) {
    return {name + ":1", name + ":2", domain};
  }

  static VmDirectory::Options Options() {
    return {milliseconds(900), milliseconds(1'300), milliseconds(20'000)};
  }

  void ReceiveState(const std::string& name, const std::string& domain,
                    bool is_ready = true, std::uint64_t incarnation = 1) {
    PeerState state;
    state.link = name + ":1";
    state.incarnation = incarnation;
    state.sequence = ++sequence_;
    state.is_ready = is_ready;
    state.details = PeerDetails{name + ":2", domain, {}, {}};
    directory_.OnState(state, now_);
  }

  std::vector<std::string> CallerAddresses(const std::string& domain,
                                           bool self_is_ready = true) {
    std::vector<std::string> addresses =
        directory_.CallerAddresses({domain, region_}, self_is_ready, now_);
    std::sort(addresses.begin(), addresses.end());
    return addresses;
  }

  using List = std::vector<std::string>;

  Time now_{milliseconds(10'000)};
  std::uint32_t sequence_ = 0;
  std::string region_;  ///< of the caller
  VmDirectory directory_{Record("self", "x"), Options()};
};

TEST_F(VmDirectoryTest, CallerAddressesWithEnoughInDomainOmitsOthers) {
  ReceiveState("a", "x");
  ReceiveState("b", "y");
  EXPECT_EQ(CallerAddresses("x"), (List{"a:2", "self:2"}));
}

TEST_F(VmDirectoryTest, CallerAddressesWithOneInDomainAddsOthers) {
  ReceiveState("a", "x");
  ReceiveState("b", "y");
  EXPECT_EQ(CallerAddresses("y"), (List{"a:2", "b:2", "self:2"}));
}

TEST_F(VmDirectoryTest, CallerAddressesOmitsVmThatIsNotReady) {
  ReceiveState("a", "x", false);
  EXPECT_EQ(CallerAddresses("x", false), List{});
  EXPECT_EQ(CallerAddresses("x"), List{"self:2"});
}

TEST_F(VmDirectoryTest, CallerAddressesOmitsTimedOutVm) {
  ReceiveState("a", "x");
  now_ += milliseconds(1'400);
  EXPECT_EQ(CallerAddresses("x"), List{"self:2"});
}

// VMs that don't hear each other would all hold a turn at a cold target.
TEST_F(VmDirectoryTest, OrderForCountsVmsThatAreNotHeard) {
  std::vector<VmRecord> members;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    members.push_back(Record(name, "x"));
  }
  directory_.SetMembers(members, now_);
  // A key for which some VM precedes this one.
  std::uint64_t key = 1;
  while (directory_.OrderFor(key, true, now_).position == 0) {
    ++key;
  }
  const VmOrder unheard = directory_.OrderFor(key, true, now_);
  EXPECT_EQ(unheard.vms, 7);
  EXPECT_TRUE(unheard.takes_part);
  EXPECT_TRUE(unheard.has_silent_before);
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    ReceiveState(name, "x");
  }
  const VmOrder heard = directory_.OrderFor(key, false, now_);
  EXPECT_EQ(heard.position, unheard.position);
  EXPECT_EQ(heard.vms, 7);
  EXPECT_FALSE(heard.takes_part);
  EXPECT_FALSE(heard.has_silent_before);
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    ReceiveState(name, "x", false);
  }
  EXPECT_TRUE(directory_.OrderFor(key, true, now_).has_silent_before);
}

TEST_F(VmDirectoryTest, OnStateWithOldMessageIsIgnored) {
  ReceiveState("a", "x");
  PeerState late;
  late.link = "a:1";
  late.incarnation = 1;
  late.sequence = 0;
  EXPECT_FALSE(directory_.OnState(late, now_));
  late.incarnation = 2;
  EXPECT_TRUE(directory_.OnState(late, now_));
}

TEST_F(VmDirectoryTest, TakeTimedOutReportsEachTimeoutOnce) {
  ReceiveState("a", "x");
  now_ += milliseconds(1'000);
  EXPECT_EQ(directory_.TakeTimedOut(now_), List{"a:1"});
  EXPECT_EQ(directory_.TakeTimedOut(now_), List{});
}

TEST_F(VmDirectoryTest, ExpiredMembersWithMostPeersReachableListsExpired) {
  directory_.SetMembers({Record("a", "x"), Record("b", "x"), Record("c", "x")},
                        now_);
  now_ += milliseconds(21'000);
  ReceiveState("a", "x");
  ReceiveState("b", "x");
  ASSERT_EQ(directory_.ExpiredMembers(now_).size(), 1U);
  EXPECT_EQ(directory_.ExpiredMembers(now_)[0], Record("c", "x"));
}

// A partitioned VM receives no messages and must not remove the others.
TEST_F(VmDirectoryTest, ExpiredMembersWhilePartitionedIsEmpty) {
  directory_.SetMembers({Record("a", "x"), Record("b", "x"), Record("c", "x")},
                        now_);
  now_ += milliseconds(21'000);
  EXPECT_TRUE(directory_.ExpiredMembers(now_).empty());
}

TEST_F(VmDirectoryTest, MembersCountsUnreachableVms) {
  directory_.SetMembers({Record("self", "x"), Record("a", "x")}, now_);
  EXPECT_EQ(directory_.Members(), 2);
  EXPECT_EQ(directory_.ReachablePeers(now_), 0);
}

TEST_F(VmDirectoryTest, LocalDomainSizeFollowsRecordsAndMessages) {
  EXPECT_EQ(directory_.LocalDomainSize(), 1);
  directory_.SetMembers({Record("a", "x"), Record("b", "y"), Record("c", "x")},
                        now_);
  EXPECT_EQ(directory_.LocalDomainSize(), 3);
  ReceiveState("a", "x");
  ReceiveState("d", "x");
  EXPECT_EQ(directory_.LocalDomainSize(), 4);
  ReceiveState("b", "x");
  ReceiveState("c", "y");
  EXPECT_EQ(directory_.LocalDomainSize(), 4);
  now_ += milliseconds(1'000);
  directory_.SetMembers({Record("c", "y")}, now_);
  EXPECT_EQ(directory_.LocalDomainSize(), 1);
  EXPECT_EQ(directory_.LocalDomainLinks(), List{});
  EXPECT_EQ(directory_.Members(), 2);
}

TEST_F(VmDirectoryTest, PeerWithoutDetailsIsCountedInDomainOnceTheyArrive) {
  PeerState state;
  state.link = "a:1";
  state.incarnation = 1;
  state.sequence = ++sequence_;
  directory_.OnState(state, now_);
  EXPECT_EQ(directory_.LocalDomainSize(), 1);
  ReceiveState("a", "x");
  EXPECT_EQ(directory_.LocalDomainSize(), 2);
}

// Of hundreds of VMs, a few report to one that has started.
TEST_F(VmDirectoryTest, ReportersToStartedVmAreFewAndAgreedOn) {
  constexpr int kVms = 60;
  constexpr Duration kUptime = milliseconds(5'000);
  int reporters = 0;
  for (int self = 0; self < kVms; ++self) {
    VmDirectory directory(Record("vm" + std::to_string(self), "x"), Options());
    for (int peer = 0; peer < kVms; ++peer) {
      PeerState state;
      state.link = Record("vm" + std::to_string(peer), "x").link;
      state.incarnation = 1;
      state.sequence = 1;
      directory.OnState(state, now_);
      state.sequence = 2;
      directory.OnState(state, now_ + kUptime);
    }
    reporters +=
        directory.IsReporterTo("vm7:1", kUptime, now_ + kUptime) ? 1 : 0;
  }
  EXPECT_EQ(reporters, 4);
}

TEST_F(VmDirectoryTest, ReporterToStartedVmWithoutOlderPeersIsThisVm) {
  constexpr Duration kUptime = milliseconds(5'000);
  for (int peer = 0; peer < 20; ++peer) {
    ReceiveState("young" + std::to_string(peer), "x");
  }
  EXPECT_TRUE(directory_.IsReporterTo("young3:1", kUptime, now_));
}

TEST_F(VmDirectoryTest, RankForKeyDiffersAtEachVm) {
  constexpr int kVms = 20;
  std::vector<int> ranks;
  for (int self = 0; self < kVms; ++self) {
    VmDirectory directory(Record("vm" + std::to_string(self), "x"), Options());
    for (int peer = 0; peer < kVms; ++peer) {
      PeerState state;
      state.link = Record("vm" + std::to_string(peer), "x").link;
      state.incarnation = 1;
      state.sequence = 1;
      directory.OnState(state, now_);
    }
    ranks.push_back(directory.RankFor(7, now_));
  }
  std::sort(ranks.begin(), ranks.end());
  for (int rank = 0; rank < kVms; ++rank) {
    EXPECT_EQ(ranks[rank], rank);
  }
}

/// VMs of two regions; "x" and "y" are domains of one of them.
class VmDirectoryRegionsTest : public VmDirectoryTest {
 protected:
  VmDirectoryRegionsTest() {
    directory_.SetRegions({{"x", "eu"}, {"y", "eu"}, {"z", "us"}});
    ReceiveState("a", "x");
    ReceiveState("b", "y");
    ReceiveState("c", "z");
    ReceiveState("d", "unknown");
  }
};

TEST_F(VmDirectoryRegionsTest, CallerOfRegionIsToldOnlyItsVms) {
  region_ = "eu";
  EXPECT_EQ(CallerAddresses(""), (List{"a:2", "b:2", "self:2"}));
  EXPECT_EQ(CallerAddresses("x"), (List{"a:2", "self:2"}));
  EXPECT_EQ(CallerAddresses("y"), (List{"a:2", "b:2", "self:2"}));
  region_ = "us";
  EXPECT_EQ(CallerAddresses(""), List{"c:2"});
  EXPECT_EQ(CallerAddresses("x"), List{"c:2"});
}

TEST_F(VmDirectoryRegionsTest, RegionWithoutVmsIsToldAllOthers) {
  const List all = {"a:2", "b:2", "c:2", "d:2", "self:2"};
  region_ = "ap";
  EXPECT_EQ(CallerAddresses(""), all);
  region_ = "us";
  ReceiveState("c", "z", false);
  EXPECT_EQ(CallerAddresses(""), (List{"a:2", "b:2", "d:2", "self:2"}));
}

TEST_F(VmDirectoryRegionsTest, CallerWithoutRegionIsToldAsWithoutRegions) {
  EXPECT_EQ(CallerAddresses("x"), (List{"a:2", "self:2"}));
  EXPECT_EQ(CallerAddresses(""), (List{"a:2", "b:2", "c:2", "d:2", "self:2"}));
}

/// Limit of the time for which a VM that is gone may be listed: the stable
/// window of 4 s and 3 s.
constexpr Duration kMaxListedTime = milliseconds(7'000);
/// Callers keep an answer of the directory for this time.
constexpr Duration kDirectoryTtl = milliseconds(1'000);

/// Parameter: number of VMs, in up to 12 failure domains.
class VmDirectorySizeTest : public VmDirectoryTest,
                            public testing::WithParamInterface<int> {
 protected:
  static constexpr int kDomains = 12;

  VmDirectorySizeTest() {
    std::vector<VmRecord> members = {Record("self", "x")};
    for (int vm = 1; vm < GetParam(); ++vm) {
      members.push_back(Record(Name(vm), Domain(vm)));
    }
    directory_.SetMembers(members, now_);
    plan_ = PlanForScale(directory_.Members(), directory_.LocalDomainSize(),
                         milliseconds(5'000), milliseconds(3'000));
    directory_.SetRemoteTimeoutFactor(plan_.remote_timeout_factor);
  }

  static std::string Name(int vm) { return "vm" + std::to_string(vm); }
  static std::string Domain(int vm) {
    return vm % kDomains == 0 ? "x" : "d" + std::to_string(vm % kDomains);
  }

  ScalePlan plan_;
};

// VMs that are never heard, whether they were registered before or after, are
// listed at no time.
TEST_P(VmDirectorySizeTest, VmNeverHeardIsNotListed) {
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(CallerAddresses("x"), List{"self:2"});
    EXPECT_EQ(CallerAddresses("d1"), List{"self:2"});
    now_ += milliseconds(250);
  }
}

TEST_P(VmDirectorySizeTest, VmThatIsGoneIsListedNoLongerThanAllowed) {
  const Time gone = now_;
  for (int vm = 1; vm < GetParam(); ++vm) {
    ReceiveState(Name(vm), Domain(vm));
  }
  now_ = gone + kMaxListedTime - kDirectoryTtl;
  EXPECT_EQ(CallerAddresses("x"), List{"self:2"});
  EXPECT_EQ(CallerAddresses("d1"), List{"self:2"});
}

// With the longest interval between messages, VMs that are up stay listed.
TEST_P(VmDirectorySizeTest, VmThatIsUpStaysListed) {
  for (int i = 0; i < 10; ++i) {
    for (int vm = 1; vm < GetParam(); ++vm) {
      ReceiveState(Name(vm), Domain(vm));
    }
    now_ += plan_.remote_heartbeat_period;
    EXPECT_EQ(CallerAddresses("").size(),
              static_cast<std::size_t>(std::min(GetParam(), 64)));
  }
}

TEST_P(VmDirectorySizeTest, ShortStableWindowLimitsSilenceAtEachSize) {
  directory_.SetMaxListedSilence(milliseconds(3'000));
  for (int vm = 1; vm < GetParam(); ++vm) {
    ReceiveState(Name(vm), Domain(vm));
  }
  now_ += milliseconds(3'000);
  EXPECT_EQ(CallerAddresses("d1"), List{"self:2"});
}

INSTANTIATE_TEST_SUITE_P(Vms, VmDirectorySizeTest,
                         testing::Values(1, 2, 3, 16, 17, 30, 83, 295, 410));

// The clock of messages stands still while the VM is suspended, but its peers
// may leave meanwhile.
TEST_F(VmDirectoryTest, CallerAddressesAfterSuspensionOmitsVmsNotHeardSince) {
  ReceiveState("a", "x");
  directory_.SetSuspendedTime(milliseconds(10'000));
  EXPECT_EQ(CallerAddresses("x"), List{"self:2"});
  ReceiveState("a", "x");
  EXPECT_EQ(CallerAddresses("x"), (List{"a:2", "self:2"}));
}

}  // namespace
}  // namespace hornbeamcleat
