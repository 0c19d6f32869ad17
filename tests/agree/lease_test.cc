#include "hornbeamcleat/agree/lease.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Members that share a log. Each member has its own read position.
class LeaseTest : public testing::Test {
 protected:
  struct Member {
    std::unique_ptr<Lease> lease;
    std::size_t next = 0;
  };

  Member Make(const std::string& holder, std::size_t from = 0) {
    Member out;
    out.lease = Lease::Make("move/m1", holder, options_);
    out.next = from;
    return out;
  }

  void Append(const std::string& payload) { log_.push_back(payload); }

  bool AppendIfDue(Member* member) {
    const std::optional<std::string> record = member->lease->Due(now_);
    if (record) {
      Append(*record);
      member->lease->OnAppended(log_.size(), now_);
    }
    return record.has_value();
  }

  void Read(Member* member) {
    for (; member->next < log_.size(); ++member->next) {
      member->lease->OnRecord(member->next + 1, log_[member->next], now_);
    }
  }

  void Run(Member* member, Duration d) {
    for (const Time end = now_ + d; now_ < end; now_ += milliseconds(100)) {
      AppendIfDue(member);
      Read(member);
    }
  }

  LeaseOptions options_;
  Time now_{seconds(100)};
  std::vector<std::string> log_;
};

TEST_F(LeaseTest, ClaimReadBackGrantsTermAfterFirstWait) {
  Member a = Make("a#1");
  EXPECT_FALSE(a.lease->Due(now_));
  Run(&a, options_.ttl + seconds(1));
  EXPECT_TRUE(a.lease->Holds(now_));
  EXPECT_EQ(a.lease->Fencing(), 1U);
  EXPECT_TRUE(a.lease->FormerOrdersMayBeInFlight(now_));
  Run(&a, seconds(30));
  EXPECT_TRUE(a.lease->Holds(now_));
  EXPECT_EQ(a.lease->Fencing(), 1U);
  EXPECT_FALSE(a.lease->FormerOrdersMayBeInFlight(now_));
}

TEST_F(LeaseTest, AppendAnsweredButNotReadBackGrantsNothing) {
  Member a = Make("a#1");
  a.lease->Due(now_);
  now_ += options_.ttl;
  ASSERT_TRUE(AppendIfDue(&a));
  EXPECT_FALSE(a.lease->Holds(now_));
}

TEST_F(LeaseTest, HolderPausedLosesTermBeforeOtherMemberMayClaim) {
  Member a = Make("a#1");
  Member b = Make("b#1");
  Run(&a, seconds(20));
  b.lease->Due(now_);
  Read(&b);
  const Time paused = now_;
  while (!AppendIfDue(&b)) {
    now_ += milliseconds(100);
    ASSERT_LE(now_, paused + seconds(60));
  }
  EXPECT_FALSE(a.lease->Holds(now_));
  EXPECT_GE(now_, paused + options_.ttl);
  Read(&b);
  EXPECT_TRUE(b.lease->Holds(now_));
  EXPECT_TRUE(b.lease->FormerOrdersMayBeInFlight(now_));
  EXPECT_GT(b.lease->Fencing(), a.lease->Fencing());
  Read(&a);
  EXPECT_EQ(a.lease->Holder(), "b#1");
  EXPECT_FALSE(a.lease->Due(now_));
}

TEST_F(LeaseTest, TwoClaimsInARaceFirstOffsetHolds) {
  Member a = Make("a#1");
  Member b = Make("b#1");
  a.lease->Due(now_);
  b.lease->Due(now_);
  now_ += options_.ttl * 2;
  ASSERT_TRUE(AppendIfDue(&b));
  ASSERT_TRUE(AppendIfDue(&a));
  Read(&a);
  Read(&b);
  EXPECT_TRUE(b.lease->Holds(now_));
  EXPECT_FALSE(a.lease->Holds(now_));
  EXPECT_EQ(a.lease->Holder(), "b#1");
}

TEST_F(LeaseTest, RenewalWithLostAnswerCountsFromBeforeItWasSent) {
  Member a = Make("a#1");
  Run(&a, seconds(20));
  now_ += options_.renew_period;
  const std::optional<std::string> record = a.lease->Due(now_);
  ASSERT_TRUE(record);
  const Time sent = now_;
  a.lease->OnAppendLost(now_);
  Append(*record);
  now_ += seconds(3);
  Read(&a);
  EXPECT_TRUE(
      a.lease->Holds(sent + options_.ttl - options_.margin - milliseconds(1)));
  EXPECT_FALSE(a.lease->Holds(sent + options_.ttl - options_.margin));
}

TEST_F(LeaseTest, ResignedLeaseIsTakenWithoutWaitingForTheTerm) {
  Member a = Make("a#1");
  Member b = Make("b#1");
  Run(&a, seconds(20));
  b.lease->Due(now_);
  Read(&b);
  const std::optional<std::string> record = a.lease->Resign();
  ASSERT_TRUE(record);
  EXPECT_FALSE(a.lease->Holds(now_));
  Append(*record);
  Read(&b);
  now_ += options_.ttl / 4;
  EXPECT_TRUE(AppendIfDue(&b));
  Read(&b);
  EXPECT_TRUE(b.lease->Holds(now_));
  EXPECT_TRUE(b.lease->FormerOrdersMayBeInFlight(now_));
}

TEST_F(LeaseTest, FreshMemberAfterExpiryAcceptsTheHolderAtItsNextRenewal) {
  Member a = Make("a#1");
  Run(&a, seconds(20));
  // The first record that the new member reads is a void claim.
  Append(R"({"lease":"move/m1","holder":"x#1","n":1,"readTo":1,"fencing":0})");
  Member fresh = Make("c#1", log_.size() - 1);
  fresh.lease->Due(now_);
  Read(&fresh);
  EXPECT_EQ(fresh.lease->Holder(), "x#1");
  Run(&a, options_.renew_period + seconds(1));
  Read(&fresh);
  EXPECT_EQ(fresh.lease->Holder(), "a#1");
  EXPECT_EQ(fresh.lease->Fencing(), 1U);
}

TEST_F(LeaseTest, MemberThatMissedRecordsToExpiryWaitsATermBeforeItClaims) {
  Member a = Make("a#1");
  Member b = Make("b#1");
  b.lease->Due(now_);
  Run(&a, options_.ttl + milliseconds(200));
  ASSERT_TRUE(a.lease->Holds(now_));
  now_ += options_.ttl / 4;
  // The holder's only record expires before the other member reads it.
  b.lease->OnRecord(2, R"({"other":1})", now_);
  EXPECT_FALSE(b.lease->Due(now_));
  EXPECT_TRUE(a.lease->Holds(now_));
  EXPECT_TRUE(b.lease->Due(now_ + options_.ttl * 2));
}

TEST_F(LeaseTest, UnreadableAndForeignRecordsHaveNoEffect) {
  Member a = Make("a#1");
  Run(&a, seconds(20));
  Append("{");
  Append(R"({"lease":"other","holder":"x","n":1,"readTo":999,"fencing":0})");
  Run(&a, seconds(5));
  EXPECT_TRUE(a.lease->Holds(now_));
}

// Random pauses, read delays, lost responses, late appends and expired records.
// No two members may hold the lease at the same time.
TEST_F(LeaseTest, RandomFaultsNeverTwoHolders) {
  constexpr int kSteps = 60'000;
  std::mt19937 random(3);
  std::vector<Member> members;
  members.reserve(4);
  for (int i = 0; i < 4; ++i) {
    members.push_back(Make("m" + std::to_string(i)));
  }
  std::map<std::size_t, Time> paused;
  std::multimap<Time, std::string> late;
  int held = 0;
  int incarnation = 0;
  for (int step = 0; step < kSteps; ++step) {
    now_ += milliseconds(50);
    while (!late.empty() && late.begin()->first <= now_) {
      Append(late.begin()->second);
      late.erase(late.begin());
    }
    int holders = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
      Member& member = members[i];
      holders += member.lease->Holds(now_) ? 1 : 0;
      if (paused[i] > now_) {
        continue;
      }
      if (random() % 600 == 0) {
        paused[i] = now_ + milliseconds(random() % 12'000);
      }
      if (random() % 2'000 == 0) {
        const std::size_t kept = log_.size() < 3 ? 0 : log_.size() - 3;
        member = Make("r" + std::to_string(++incarnation), kept);
      }
      const std::optional<std::string> record = member.lease->Due(now_);
      if (record) {
        late.emplace(now_ + milliseconds(random() % 10 == 0 ? random() % 9'000
                                                            : random() % 80),
                     *record);
        member.lease->OnAppendLost(now_);
      }
      if (random() % 4 != 0) {
        Read(&member);
      }
    }
    ASSERT_LE(holders, 1) << "step " << step;
    held += holders;
  }
  EXPECT_GT(held, kSteps / 4);
}

}  // namespace
}  // namespace hornbeamcleat
