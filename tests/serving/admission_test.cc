#include "src/serving/admission.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class AdmissionTest : public testing::Test {
 protected:
  AdmissionTest() : desk_(Options()) {}

  static AdmissionController::Options Options() {
    AdmissionController::Options options;
    options.key_limit = milliseconds(5'000);
    options.poison_limit = 2;
    options.poison_expiry = milliseconds(30'000);
    return options;
  }

  static std::shared_ptr<const RouteTable> Table(std::int64_t version,
                                                 const std::string& key) {
    ServingConfig config;
    config.version = version;
    ServingRoute route;
    route.host = "h";
    route.path_prefix = "/p/";
    route.rank = 2;
    route.shares = {{"s", 1}};
    config.routes = {route};
    route.path_prefix = "/open/";
    route.is_public = true;
    config.routes.push_back(route);
    ServingWorkspace workspace;
    workspace.name = "w";
    workspace.rank = 1;
    if (!key.empty()) {
      workspace.keys = {key};
    }
    config.workspaces = {workspace};
    return std::make_shared<const RouteTable>(std::move(config));
  }

  AdmissionQuery Query(const std::string& key = "k",
                       const std::string& path = "/p/x") const {
    AdmissionQuery query;
    query.host = "h";
    query.path = path;
    query.key = key;
    query.fingerprint = 7;
    query.now = now_;
    query.boot_now = now_;
    return query;
  }

  void Configure(std::int64_t version = 1, const std::string& key = "k") {
    desk_.SetTable(Table(version, key));
    desk_.OnConfirmed(now_);
  }

  Time now_{milliseconds(100'000)};
  AdmissionController desk_;
};

TEST_F(AdmissionTest, AdmitWithoutConfigurationPromisesNotRun) {
  const Admission admission = desk_.Admit(Query());
  EXPECT_EQ(admission.refusal, RefusalReason::kNoConfiguration);
  EXPECT_EQ(RefusalStatus(admission.refusal, false), 503);
}

TEST_F(AdmissionTest, AdmitWithKeyTakesWorkspacesRank) {
  Configure();
  const Admission admission = desk_.Admit(Query());
  ASSERT_TRUE(admission.IsAdmitted());
  EXPECT_EQ(admission.rank, 1);
  EXPECT_EQ(admission.workspace->name, "w");
}

TEST_F(AdmissionTest, AdmitWithUnknownKeyOrRouteIsRefused) {
  Configure();
  EXPECT_EQ(desk_.Admit(Query("other")).refusal, RefusalReason::kUnknownKey);
  EXPECT_EQ(desk_.Admit(Query("")).refusal, RefusalReason::kUnknownKey);
  EXPECT_EQ(desk_.Admit(Query("k", "/none/")).refusal, RefusalReason::kNoRoute);
}

TEST_F(AdmissionTest, AdmitOnPublicRouteNeedsNoKey) {
  Configure();
  EXPECT_TRUE(desk_.Admit(Query("", "/open/x")).IsAdmitted());
}

TEST_F(AdmissionTest, AdmitWithOldProofIsRefused) {
  Configure();
  now_ += milliseconds(4'600);
  EXPECT_TRUE(desk_.Admit(Query()).IsAdmitted());
  now_ += milliseconds(200);
  EXPECT_EQ(desk_.Admit(Query()).refusal, RefusalReason::kStaleKeys);
  EXPECT_TRUE(desk_.Admit(Query("", "/open/x")).IsAdmitted());
  desk_.OnConfirmed(now_);
  EXPECT_TRUE(desk_.Admit(Query()).IsAdmitted());
}

// A suspension stops the steady clock, not the one of the proof.
TEST_F(AdmissionTest, RecheckAfterSuspensionIsRefused) {
  Configure();
  const Admission admission = desk_.Admit(Query());
  EXPECT_EQ(desk_.Revalidate(admission, "k", now_ + milliseconds(10'000)),
            RefusalReason::kStaleKeys);
}

TEST_F(AdmissionTest, RecheckAfterKeyWasTakenAwayIsRefused) {
  Configure();
  const Admission admission = desk_.Admit(Query());
  Configure(2, "");
  EXPECT_EQ(desk_.Revalidate(admission, "k", now_), RefusalReason::kUnknownKey);
}

TEST_F(AdmissionTest, OnConfirmedWithOlderReadKeepsNewerProof) {
  Configure();
  desk_.OnConfirmed(now_ - milliseconds(4'900));
  EXPECT_TRUE(desk_.IsFresh(now_ + milliseconds(4'000)));
}

TEST_F(AdmissionTest, SetTableWithOlderVersionIsIgnored) {
  Configure(5);
  EXPECT_FALSE(desk_.SetTable(Table(4, "")));
  EXPECT_TRUE(desk_.Admit(Query()).IsAdmitted());
}

TEST_F(AdmissionTest, AdmitOfContentThatCostTargetsIsRefusedBeforeTheThird) {
  Configure();
  desk_.Poison()->OnTargetLost(7, "a", now_);
  EXPECT_TRUE(desk_.Admit(Query()).IsAdmitted());
  desk_.Poison()->OnTargetLost(7, "b", now_);
  EXPECT_EQ(desk_.Admit(Query()).refusal, RefusalReason::kPoison);
}

TEST_F(AdmissionTest, AdmitOfContentThatWasServedIsNotPoison) {
  Configure();
  desk_.Poison()->OnTargetLost(7, "a", now_);
  desk_.Poison()->OnServed(7, now_);
  desk_.Poison()->OnTargetLost(7, "b", now_);
  EXPECT_TRUE(desk_.Admit(Query()).IsAdmitted());
}

TEST_F(AdmissionTest, RefusalStatusAfterSendNeverPromisesNotRun) {
  for (const RefusalReason reason :
       {RefusalReason::kNoPlace, RefusalReason::kNotRun,
        RefusalReason::kUnreached, RefusalReason::kTimedOut,
        RefusalReason::kBadAnswer, RefusalReason::kStaleKeys}) {
    const int status = RefusalStatus(reason, true);
    EXPECT_TRUE(status == 502 || status == 504) << RefusalName(reason);
  }
}

}  // namespace
}  // namespace hornbeamcleat
