#include "hornbeamcleat/member/membership.h"

#include <gtest/gtest.h>

#include <random>

#include "hornbeamcleat/base/error.h"
#include "src/member/gossip_message.h"
#include "src/member/hmac_sha256.h"
#include "tests/member/virtual_network.h"

namespace hornbeamcleat {
namespace {

using std::chrono::seconds;

class MembershipTest : public testing::Test {
 protected:
  bool Converges(std::size_t up, Duration most = seconds(60)) {
    return network_.RunUntil(most, [&] { return network_.AllSee(up); }) >=
           Duration(0);
  }

  static MemberState StateOf(Membership& at, const std::string& name) {
    for (const Member& member : at.Members()) {
      if (member.name == name) {
        return member.state;
      }
    }
    return MemberState::kDead;
  }

  VirtualNetwork network_{MembershipOptions{}};
};

TEST_F(MembershipTest, StartThreeDomainsAllLearnOfAll) {
  network_.StartAll(3, 4);
  EXPECT_TRUE(Converges(12, seconds(10)));
}

TEST_F(MembershipTest, MemberKilledAllSeeItDead) {
  network_.StartAll(3, 4);
  ASSERT_TRUE(Converges(12));
  network_.Stop(5);
  EXPECT_TRUE(Converges(11, seconds(10)));
}

TEST_F(MembershipTest, LeaveIsSeenWithoutSuspicion) {
  network_.StartAll(2, 3);
  ASSERT_TRUE(Converges(6));
  network_.Send(4, network_.At(4).Leave(network_.Now()));
  network_.Stop(4);
  network_.Run(seconds(1));
  EXPECT_EQ(StateOf(network_.At(0), "m004"), MemberState::kLeft);
  EXPECT_TRUE(Converges(5, seconds(2)));
}

TEST_F(MembershipTest, MemberRestartedWithNewIncarnationRejoins) {
  network_.StartAll(2, 3);
  ASSERT_TRUE(Converges(6));
  network_.Stop(3);
  ASSERT_TRUE(Converges(5));
  network_.Start(3, "d1");
  EXPECT_TRUE(Converges(6, seconds(10)));
}

TEST_F(MembershipTest, LossyNetworkNobodyIsDeclaredDead) {
  std::mt19937 random(7);
  network_.StartAll(2, 4);
  ASSERT_TRUE(Converges(8));
  network_.SetDrop([&](std::size_t, std::size_t) { return random() % 5 == 0; });
  for (int i = 0; i < 60; ++i) {
    network_.Run(seconds(1));
    for (const Member& member : network_.At(0).Members()) {
      EXPECT_NE(member.state, MemberState::kDead) << member.name;
    }
  }
}

TEST_F(MembershipTest, PausedMemberIsRefutedAndSuspectsNobody) {
  network_.StartAll(2, 4);
  ASSERT_TRUE(Converges(8));
  network_.SetPaused(2, true);
  network_.Run(seconds(20));
  EXPECT_EQ(network_.CountUpSeenBy(0), 7U);
  network_.SetPaused(2, false);
  network_.Run(std::chrono::milliseconds(100));
  EXPECT_EQ(network_.CountUpSeenBy(2), 8U);
  EXPECT_TRUE(Converges(8, seconds(15)));
}

TEST_F(MembershipTest, CutBetweenDomainsHealsAfterMembersWereForgotten) {
  MembershipOptions options;
  options.forget_time = seconds(20);
  VirtualNetwork network(options);
  network.StartAll(2, 4);
  ASSERT_GE(network.RunUntil(seconds(30), [&] { return network.AllSee(8); }),
            Duration(0));
  network.SetDrop(
      [](std::size_t from, std::size_t to) { return from % 2 != to % 2; });
  network.Run(seconds(120));
  EXPECT_TRUE(network.AllSee(4));
  EXPECT_EQ(network.At(0).Members().size(), 4U);
  network.SetDrop({});
  EXPECT_GE(network.RunUntil(seconds(30), [&] { return network.AllSee(8); }),
            Duration(0));
}

TEST_F(MembershipTest, SetFactReachesAllDomainsAndLatestValueWins) {
  network_.StartAll(3, 4);
  ASSERT_TRUE(Converges(12));
  network_.At(7).SetFact("withdrawn/llm/v2", "a", false, network_.Now());
  network_.At(7).SetFact("withdrawn/llm/v2", "b", false, network_.Now());
  const Duration taken = network_.RunUntil(seconds(10), [&] {
    return network_.CountKnowingFact("withdrawn/llm/v2", "b") == 12;
  });
  EXPECT_GE(taken, Duration(0));
  EXPECT_LE(taken, seconds(2));  // virtual time
}

TEST_F(MembershipTest, MemberDiesItsExpiringFactsGoAndOthersStay) {
  network_.StartAll(2, 3);
  ASSERT_TRUE(Converges(6));
  network_.At(5).SetFact("floor/llm", "2", true, network_.Now());
  network_.At(5).SetFact("withdrawn/llm/v2", "x", false, network_.Now());
  network_.Run(seconds(5));
  EXPECT_EQ(network_.CountKnowingFact("floor/llm", "2"), 6U);
  network_.Stop(5);
  ASSERT_TRUE(Converges(5));
  EXPECT_EQ(network_.CountKnowingFact("floor/llm", "2"), 0U);
  EXPECT_EQ(network_.CountKnowingFact("withdrawn/llm/v2", "x"), 5U);
}

TEST_F(MembershipTest, RestartedMemberItsFactsReplaceFormerOnes) {
  network_.StartAll(2, 3);
  ASSERT_TRUE(Converges(6));
  for (int i = 0; i < 10; ++i) {
    network_.At(5).SetFact("floor/llm", std::to_string(i), true,
                           network_.Now());
  }
  network_.At(5).SetFact("old", "1", true, network_.Now());
  network_.Run(seconds(3));
  network_.Stop(5);
  network_.Start(5, "d1");
  network_.At(5).SetFact("floor/llm", "new", true, network_.Now());
  network_.Run(seconds(10));
  EXPECT_EQ(network_.CountKnowingFact("floor/llm", "new"), 6U);
  EXPECT_EQ(network_.CountKnowingFact("old", "1"), 0U);
}

TEST_F(MembershipTest, FactsStatedDuringACutConvergeAfterIt) {
  network_.StartAll(2, 4);
  ASSERT_TRUE(Converges(8));
  network_.SetDrop(
      [](std::size_t from, std::size_t to) { return from % 2 != to % 2; });
  network_.Run(seconds(5));
  network_.At(0).SetFact("withdrawn/a", "1", false, network_.Now());
  network_.At(1).SetFact("withdrawn/b", "1", false, network_.Now());
  network_.Run(seconds(30));
  EXPECT_EQ(network_.CountKnowingFact("withdrawn/a", "1"), 4U);
  network_.SetDrop({});
  ASSERT_TRUE(Converges(8));
  network_.Run(seconds(10));
  EXPECT_EQ(network_.CountKnowingFact("withdrawn/a", "1"), 8U);
  EXPECT_EQ(network_.CountKnowingFact("withdrawn/b", "1"), 8U);
}

TEST_F(MembershipTest, SetFactLargerThanHalfADatagramThrows) {
  network_.StartAll(1, 1);
  EXPECT_THROW(
      network_.At(0).SetFact("k", std::string(600, 'x'), true, network_.Now()),
      Error);
}

TEST_F(MembershipTest, ManyFactsStayWithinDatagramAndByteBudget) {
  network_.StartAll(2, 2);
  ASSERT_TRUE(Converges(4));
  const std::uint64_t before = network_.At(0).Counters().bytes_sent;
  for (int i = 0; i < 100; ++i) {
    for (int k = 0; k < 100; ++k) {
      network_.At(0).SetFact(fmt::format("k{}", k),
                             std::string(100, static_cast<char>('a' + i % 26)),
                             true, network_.Now());
    }
    network_.Run(std::chrono::milliseconds(100));
  }
  const std::uint64_t sent = network_.At(0).Counters().bytes_sent - before;
  EXPECT_LE(sent, 10U * 8'192U + 4'096U);
  EXPECT_EQ(network_.At(1).Counters().malformed, 0U);
}

TEST_F(MembershipTest, WithdrawalSpreadsWhileOtherFactsFillTheBudget) {
  constexpr std::size_t kMembers = 33;
  network_.StartAll(3, kMembers / 3);
  ASSERT_TRUE(Converges(kMembers));
  Duration taken{0};
  for (int i = 0; i < 20 * 10; ++i) {
    for (std::size_t n = 0; n < kMembers; ++n) {
      network_.At(n).SetFact("entry", std::string(300, 'x') + std::to_string(i),
                             true, network_.Now());
    }
    if (i == 10 * 10) {
      network_.At(7).SetFact("withdrawn/llm/v2", "b", false, network_.Now());
    }
    network_.Run(std::chrono::milliseconds(100));
    if (i >= 10 * 10 &&
        network_.CountKnowingFact("withdrawn/llm/v2", "b") < kMembers) {
      taken += std::chrono::milliseconds(100);
    }
  }
  EXPECT_LE(taken, seconds(3));  // virtual time
}

TEST_F(MembershipTest, OnDatagramReplayedOrForgedIsCountedAndDropped) {
  network_.StartAll(1, 2);
  const std::vector<Datagram> sent = network_.At(0).Tick(network_.Now());
  ASSERT_FALSE(sent.empty());
  Membership& to = network_.At(1);
  const Address from = VirtualNetwork::AddressOf(0);
  EXPECT_FALSE(to.OnDatagram(from, sent[0].bytes, network_.Now()).empty());
  EXPECT_TRUE(to.OnDatagram(from, sent[0].bytes, network_.Now()).empty());
  std::string forged = sent[0].bytes;
  forged[3] = static_cast<char>(forged[3] ^ 1);
  EXPECT_TRUE(to.OnDatagram(from, forged, network_.Now()).empty());
  EXPECT_TRUE(to.OnDatagram(from, "short", network_.Now()).empty());
  EXPECT_EQ(to.Counters().replayed, 1U);
  EXPECT_EQ(to.Counters().unauthenticated, 1U);
  EXPECT_EQ(to.Counters().malformed, 1U);
}

TEST_F(MembershipTest, OnDatagramMutatedUnderAValidSignatureNeverCrashes) {
  constexpr int kInputs = 20'000;
  network_.StartAll(2, 3);
  ASSERT_TRUE(Converges(6));
  network_.At(0).SetFact("floor/llm", "2", true, network_.Now());
  std::vector<Datagram> good = network_.At(0).Tick(network_.Now());
  for (int i = 0; good.size() < 10; ++i) {
    const std::vector<Datagram> more =
        network_.At(0).Tick(network_.Now() + i * std::chrono::milliseconds(99));
    good.insert(good.end(), more.begin(), more.end());
  }
  const std::unique_ptr<HmacSha256> hmac = HmacSha256::Make("secret");
  std::mt19937 random(11);
  Membership& to = network_.At(1);
  const MembershipCounters before = to.Counters();
  for (int i = 0; i < kInputs; ++i) {
    std::string bytes = good[random() % good.size()].bytes;
    bytes.resize(bytes.size() - HmacSha256::kSize);
    for (std::uint32_t n = 1 + random() % 4; n > 0; --n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
      bytes.resize(random() % bytes.size());
    }
    bytes += hmac->Sign(bytes);
    to.OnDatagram(VirtualNetwork::AddressOf(0), bytes, network_.Now());
    to.Tick(network_.Now() + i * std::chrono::milliseconds(10));
  }
  const MembershipCounters after = to.Counters();
  EXPECT_EQ(after.received - before.received, std::uint64_t{kInputs});
  EXPECT_EQ(after.unauthenticated, before.unauthenticated);
  EXPECT_GT(after.malformed, before.malformed);
}

}  // namespace
}  // namespace hornbeamcleat
