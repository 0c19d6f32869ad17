#include "src/serving/admission.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

const RequestProperty kContent = {PropertyKind::kContent, "7"};

class AdmissionTest : public testing::Test {
 protected:
  AdmissionTest() : controller_(Options()) {}

  static AdmissionController::Options Options() {
    AdmissionController::Options options;
    options.key_limit = milliseconds(5'000);
    options.losses.limit = 2;
    options.losses.refusal_time = milliseconds(30'000);
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
    query.properties = {kContent};
    query.now = now_;
    query.boot_now = now_;
    return query;
  }

  void Configure(std::int64_t version = 1, const std::string& key = "k") {
    controller_.SetTable(Table(version, key));
    controller_.OnConfirmed(now_);
  }

  Time now_{milliseconds(100'000)};
  AdmissionController controller_;
};

TEST_F(AdmissionTest, AdmitWithoutConfigurationPromisesNotRun) {
  const Admission admission = controller_.Admit(Query());
  EXPECT_EQ(admission.refusal, RefusalReason::kNoConfiguration);
  EXPECT_EQ(RefusalStatus(admission.refusal, false), 503);
}

TEST_F(AdmissionTest, AdmitWithKeyTakesWorkspacesRank) {
  Configure();
  const Admission admission = controller_.Admit(Query());
  ASSERT_TRUE(admission.IsAdmitted());
  EXPECT_EQ(admission.rank, 1);
  EXPECT_EQ(admission.workspace->name, "w");
}

TEST_F(AdmissionTest, AdmitWithUnknownKeyOrRouteIsRefused) {
  Configure();
  EXPECT_EQ(controller_.Admit(Query("other")).refusal,
            RefusalReason::kUnknownKey);
  EXPECT_EQ(controller_.Admit(Query("")).refusal, RefusalReason::kUnknownKey);
  EXPECT_EQ(controller_.Admit(Query("k", "/none/")).refusal,
            RefusalReason::kNoRoute);
}

// Guards against a configuration that takes the last workspace away and thereby
// admits every key, and requests without one.
TEST_F(AdmissionTest, AdmitWithoutAnyWorkspaceAdmitsNoKey) {
  for (const bool was_configured : {false, true}) {
    AdmissionController controller(Options());
    if (was_configured) {
      controller.SetTable(Table(1, "k"));
    }
    ServingConfig config = Table(2, "")->Config();
    config.workspaces.clear();
    controller.SetTable(std::make_shared<const RouteTable>(config));
    controller.OnConfirmed(now_);
    for (const char* key : {"k", "other", ""}) {
      EXPECT_EQ(controller.Admit(Query(key)).refusal,
                RefusalReason::kUnknownKey);
    }
    EXPECT_TRUE(controller.Admit(Query("", "/open/x")).IsAdmitted());
  }
}

// Guards against an empty key in the configuration that admits requests without
// a key.
TEST_F(AdmissionTest, AdmitWithEmptyKeyInConfigurationIsRefused) {
  ServingConfig config = Table(1, "k")->Config();
  config.workspaces[0].keys.emplace_back();
  controller_.SetTable(std::make_shared<const RouteTable>(config));
  controller_.OnConfirmed(now_);
  EXPECT_EQ(controller_.Admit(Query("")).refusal, RefusalReason::kUnknownKey);
  EXPECT_TRUE(controller_.Admit(Query()).IsAdmitted());
}

TEST_F(AdmissionTest, AdmitNeedsNoKeyIfConfigurationAsksForNone) {
  ServingConfig config = Table(1, "")->Config();
  config.workspaces.clear();
  config.requires_keys = false;
  controller_.SetTable(std::make_shared<const RouteTable>(config));
  EXPECT_TRUE(controller_.Admit(Query("")).IsAdmitted());
}

TEST_F(AdmissionTest, AdmitOnPublicRouteNeedsNoKey) {
  Configure();
  EXPECT_TRUE(controller_.Admit(Query("", "/open/x")).IsAdmitted());
}

TEST_F(AdmissionTest, AdmitWithOldProofIsRefused) {
  Configure();
  now_ += milliseconds(4'600);
  EXPECT_TRUE(controller_.Admit(Query()).IsAdmitted());
  now_ += milliseconds(200);
  EXPECT_EQ(controller_.Admit(Query()).refusal, RefusalReason::kStaleKeys);
  EXPECT_TRUE(controller_.Admit(Query("", "/open/x")).IsAdmitted());
  controller_.OnConfirmed(now_);
  EXPECT_TRUE(controller_.Admit(Query()).IsAdmitted());
}

// A VM suspension stops the steady clock, but not the clock that measures the
// age of the configuration.
TEST_F(AdmissionTest, RecheckAfterSuspensionIsRefused) {
  Configure();
  Admission admission = controller_.Admit(Query());
  AdmissionQuery query = Query();
  query.boot_now = now_ + milliseconds(10'000);
  EXPECT_FALSE(controller_.IsCurrent(admission, query.boot_now));
  EXPECT_EQ(controller_.Revalidate(query, false, &admission),
            RefusalReason::kStaleKeys);
}

TEST_F(AdmissionTest, RecheckAfterKeyWasTakenAwayIsRefused) {
  Configure();
  Admission admission = controller_.Admit(Query());
  Configure(2, "");
  EXPECT_FALSE(controller_.IsCurrent(admission, now_));
  EXPECT_EQ(controller_.Revalidate(Query(), false, &admission),
            RefusalReason::kUnknownKey);
}

// Guards against a waiting request that is denied although its key was valid
// when it came and is valid now: the key has another owner, the owner another
// name, rank or quota, the route needs no key any more, or is gone.
TEST_F(AdmissionTest, RecheckAfterChangesThatAllowItIsAdmitted) {
  using Change = std::function<void(ServingConfig*)>;
  struct Case {
    const char* what;
    Change change;
    std::string workspace;
  };
  const std::vector<Case> cases = {
      {"other owner",
       [](ServingConfig* config) {
         config->workspaces.push_back(config->workspaces[0]);
         config->workspaces[0].keys.clear();
         config->workspaces[1].name = "other";
       },
       "other"},
      {"other name",
       [](ServingConfig* config) { config->workspaces[0].name = "renamed"; },
       "renamed"},
      {"other rank and quota",
       [](ServingConfig* config) {
         config->workspaces[0].rank = 7;
         config->workspaces[0].rate_per_second = 1;
       },
       "w"},
      {"no keys asked for",
       [](ServingConfig* config) {
         config->workspaces.clear();
         config->requires_keys = false;
       },
       ""},
      {"key gone, route public",
       [](ServingConfig* config) {
         config->workspaces[0].keys.clear();
         config->routes[0].is_public = true;
       },
       ""},
      {"key gone, longer public route",
       [](ServingConfig* config) {
         config->workspaces[0].keys.clear();
         ServingRoute route = config->routes[0];
         route.path_prefix = "/p/q/";
         route.is_public = true;
         config->routes.push_back(route);
       },
       ""},
      {"route gone", [](ServingConfig* config) { config->routes.clear(); },
       "w"},
  };
  for (const Case& item : cases) {
    AdmissionController controller(Options());
    controller.SetTable(Table(1, "k"));
    controller.OnConfirmed(now_);
    const AdmissionQuery query = Query("k", "/p/q/x");
    Admission admission = controller.Admit(query);
    ASSERT_TRUE(admission.IsAdmitted());
    ServingConfig config = Table(2, "k")->Config();
    item.change(&config);
    controller.SetTable(std::make_shared<const RouteTable>(config));
    EXPECT_EQ(controller.Revalidate(query, false, &admission),
              RefusalReason::kNone)
        << item.what;
    EXPECT_EQ(admission.workspace == nullptr ? "" : admission.workspace->name,
              item.workspace)
        << item.what;
    EXPECT_TRUE(controller.IsCurrent(admission, now_)) << item.what;
  }
}

// The quota that a request uses is that of the workspace it runs for.
TEST_F(AdmissionTest, RecheckWithOtherOwnerChargesThatOne) {
  ServingConfig config = Table(1, "k")->Config();
  config.workspaces[0].rate_per_second = 1;
  config.workspaces[0].burst = 1;
  controller_.SetTable(std::make_shared<const RouteTable>(config));
  controller_.OnConfirmed(now_);
  Admission first = controller_.Admit(Query());
  ASSERT_TRUE(first.IsAdmitted());
  Admission second = first;
  config.version = 2;
  config.workspaces.push_back(config.workspaces[0]);
  config.workspaces[0].keys = {"old"};
  config.workspaces[1].name = "other";
  controller_.SetTable(std::make_shared<const RouteTable>(config));
  EXPECT_EQ(controller_.Revalidate(Query(), false, &first),
            RefusalReason::kNone);
  EXPECT_EQ(first.charged, 1);
  // The other owner's quota is used up, and the first one's is free again.
  RefusalReason refusal = RefusalReason::kNone;
  for (int i = 0; i < 3 && refusal == RefusalReason::kNone; ++i) {
    Admission next = second;
    refusal = controller_.Revalidate(Query(), false, &next);
    second.charged = 0;
    if (refusal != RefusalReason::kNone) {
      EXPECT_GT(next.retry_after, Duration(0));
      EXPECT_EQ(next.charged, 0);
    }
  }
  EXPECT_EQ(refusal, RefusalReason::kOverQuota);
  EXPECT_TRUE(controller_.Admit(Query("old")).IsAdmitted());
  // A request that may have run must not be told that it has not.
  EXPECT_EQ(controller_.Revalidate(Query(), true, &second),
            RefusalReason::kNone);
}

TEST_F(AdmissionTest, OnConfirmedWithOlderReadKeepsNewerProof) {
  Configure();
  controller_.OnConfirmed(now_ - milliseconds(4'900));
  EXPECT_TRUE(controller_.IsFresh(now_ + milliseconds(4'000)));
}

TEST_F(AdmissionTest, SetTableWithOlderVersionIsIgnored) {
  Configure(5);
  EXPECT_FALSE(controller_.SetTable(Table(4, "")));
  EXPECT_TRUE(controller_.Admit(Query()).IsAdmitted());
}

TEST_F(AdmissionTest, AdmitOfContentThatCostTargetsIsRefusedBeforeTheThird) {
  Configure();
  controller_.Losses()->OnTargetLost(TargetRun::Make({kContent}, "a", now_),
                                     now_);
  EXPECT_TRUE(controller_.Admit(Query()).IsAdmitted());
  controller_.Losses()->OnTargetLost(TargetRun::Make({kContent}, "b", now_),
                                     now_);
  EXPECT_EQ(controller_.Admit(Query()).refusal, RefusalReason::kPoison);
}

TEST_F(AdmissionTest, AdmitOfContentThatWasServedIsNotPoison) {
  Configure();
  controller_.Losses()->OnTargetLost(TargetRun::Make({kContent}, "a", now_),
                                     now_);
  controller_.Losses()->OnAnswered(TargetRun::Make({kContent}, "a", now_), now_,
                                   now_);
  controller_.Losses()->OnTargetLost(TargetRun::Make({kContent}, "b", now_),
                                     now_);
  EXPECT_TRUE(controller_.Admit(Query()).IsAdmitted());
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
