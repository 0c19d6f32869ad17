#include "src/serving/quota_ledger.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class QuotaLedgerTest : public testing::Test {
 protected:
  QuotaLedgerTest() {
    workspace_.name = "w";
    workspace_.counts_tokens = true;
    workspace_.rate_per_second = 1'000;
    workspace_.burst = 1'000;
  }

  // Admits requests of `cost` until one is refused.
  double Drain(QuotaLedger* ledger, double cost) {
    double admitted = 0;
    while (ledger->Admit(workspace_, cost, now_).is_admitted) {
      admitted += cost;
    }
    return admitted;
  }

  Time now_{milliseconds(10'000)};
  WorkspaceSpec workspace_;
};

TEST_F(QuotaLedgerTest, AdmitWithoutLimitAdmitsAll) {
  QuotaLedger ledger;
  workspace_.rate_per_second = 0;
  EXPECT_TRUE(ledger.Admit(workspace_, 1e9, now_).is_admitted);
}

TEST_F(QuotaLedgerTest, AdmitBeyondQuotaTellsWhenToComeBack) {
  QuotaLedger ledger;
  Drain(&ledger, 10);
  const QuotaVerdict verdict = ledger.Admit(workspace_, 10, now_);
  EXPECT_FALSE(verdict.is_admitted);
  EXPECT_GT(verdict.retry_after, Duration(0));
  now_ += verdict.retry_after + milliseconds(1);
  EXPECT_TRUE(ledger.Admit(workspace_, 10, now_).is_admitted);
}

TEST_F(QuotaLedgerTest, AdmitAfterStartGivesOnlyPartOfBurst) {
  QuotaLedger ledger;
  EXPECT_LE(Drain(&ledger, 1), workspace_.burst * QuotaLedger::kStartShare + 1);
}

TEST_F(QuotaLedgerTest, SetPeerUseTakesWhatPeersAdmitted) {
  QuotaLedger ledger;
  QuotaLedger peer;
  ledger.SetMembers(2);
  peer.SetMembers(2);
  ledger.SetPeerUse("p", 1, peer.TakeUses(true));
  peer.SetPeerUse("l", 1, ledger.TakeUses(true));
  Drain(&ledger, 1);
  now_ += milliseconds(900);
  peer.Admit(workspace_, 1, now_);
  ledger.SetPeerUse("p", 1, peer.TakeUses(true));
  const double taken = 200;
  peer.Admit(workspace_, taken, now_);
  ledger.SetPeerUse("p", 1, peer.TakeUses(true));
  EXPECT_NEAR(Drain(&ledger, 1), 900 - taken, 5);
}

// A peer's total falls when it takes back a charge; counting the next rise in
// full would charge it twice.
TEST_F(QuotaLedgerTest, SetPeerUseCreditsWhatPeerTakesBack) {
  QuotaLedger ledger;
  ledger.SetMembers(2);
  ledger.SetPeerUse("p", 1, {{Hash32("w"), 0}});
  Drain(&ledger, 1);
  now_ += milliseconds(500);
  ledger.Admit(workspace_, 1, now_);
  for (int i = 0; i < 20; ++i) {
    ledger.SetPeerUse("p", 1, {{Hash32("w"), 100}});
    ledger.SetPeerUse("p", 1, {{Hash32("w"), 0}});
  }
  EXPECT_NEAR(Drain(&ledger, 1), 499, 3);
}

TEST_F(QuotaLedgerTest, SetPeerUseOfRestartedPeerStartsCountingAnew) {
  QuotaLedger ledger;
  ledger.SetMembers(2);
  ledger.SetPeerUse("p", 1, {{Hash32("w"), 1e6}});
  now_ += milliseconds(1'000);
  ledger.Admit(workspace_, 1, now_);
  ledger.SetPeerUse("p", 2, {{Hash32("w"), 10}});
  EXPECT_GT(Drain(&ledger, 1), 0);
}

// Load: one workspace presses through all VMs while none hears another. In any
// window the sum stays within the quota, since each VM keeps to its share.
TEST_F(QuotaLedgerTest, AdmitWithAllPeersSilentKeepsSumWithinQuota) {
  constexpr int kVms = 8;
  constexpr int kSeconds = 8;
  std::vector<std::unique_ptr<QuotaLedger>> ledgers;
  for (int i = 0; i < kVms; ++i) {
    ledgers.push_back(std::make_unique<QuotaLedger>());
    ledgers.back()->SetMembers(kVms);
  }
  double admitted = 0;
  for (int ms = 0; ms < kSeconds * 1'000; ms += 10) {
    now_ += milliseconds(10);
    for (const std::unique_ptr<QuotaLedger>& ledger : ledgers) {
      admitted += Drain(ledger.get(), 1);
    }
  }
  EXPECT_LE(admitted,
            kSeconds * workspace_.rate_per_second + 2 * workspace_.burst);
}

TEST_F(QuotaLedgerTest, RefundGivesChargeBack) {
  QuotaLedger ledger;
  const double all = Drain(&ledger, 1);
  ledger.Refund("w", all);
  EXPECT_NEAR(Drain(&ledger, 1), all, 1);
}

}  // namespace
}  // namespace hornbeamcleat
