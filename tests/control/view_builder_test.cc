#include "src/control/view_builder.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

class ViewBuilderTest : public testing::Test {
 protected:
  void SetUp() override {
    AddMember("a", MemberState::kAlive);
    AddMember("b", MemberState::kAlive);
    inputs_.self = "a";
    config_.serving["llm"] = "v1";
    TargetSpec target;
    target.address = "10.0.0.9:80";
    target.model = "llm";
    target.version = "v1";
    config_.resources[{"Target", "t"}] = {"t", 1, target};
  }

  void AddMember(const std::string& name, MemberState state) {
    Member member;
    member.name = name;
    member.state = state;
    member.caller_url = "http://" + name;
    inputs_.members.push_back(member);
    inputs_.entries[name].serving = true;
  }

  ViewMessage Build() {
    inputs_.config = std::make_shared<const ConfigState>(config_);
    return BuildViewMessage(inputs_);
  }

  ConfigState config_;
  ViewInputs inputs_;
};

TEST_F(ViewBuilderTest, SuspectedMemberKeepsItsShareButIsNotListed) {
  AddMember("c", MemberState::kSuspect);
  const ViewMessage message = Build();
  EXPECT_EQ(message.view.entry_count, 3);
  EXPECT_EQ(message.entries.size(), 2U);
}

TEST_F(ViewBuilderTest, DeadMemberReleasesItsShare) {
  AddMember("c", MemberState::kDead);
  EXPECT_EQ(Build().view.entry_count, 2);
}

TEST_F(ViewBuilderTest, DrainingMemberIsNotListed) {
  inputs_.entries["b"].serving = false;
  const ViewMessage message = Build();
  ASSERT_EQ(message.entries.size(), 1U);
  EXPECT_EQ(message.entries.front().name, "a");
  EXPECT_EQ(message.view.entry_count, 1);
}

TEST_F(ViewBuilderTest, ModelWithoutMoveIsServedByOneVersion) {
  const VersionShare& share = Build().view.shares.at("llm");
  EXPECT_EQ(share.to_version, "v1");
  EXPECT_EQ(share.share_permille, 1000);
}

TEST_F(ViewBuilderTest, MoveShareReplacesServingVersion) {
  inputs_.move_shares["llm"] = {"llm", "v1", "v2", 10, 2};
  EXPECT_EQ(Build().view.shares.at("llm").share_permille, 10);
}

TEST_F(ViewBuilderTest, LeavingVmMarksItsTargets) {
  inputs_.vms.push_back({"vm9", "10.0.0.9", "d1", true});
  EXPECT_TRUE(Build().view.leaving.contains("t"));
}

TEST_F(ViewBuilderTest, LeastClosedRankOfPeersCountsAndOwnDoesNot) {
  inputs_.entries["a"].closed_rank["llm"] = 0;
  inputs_.entries["b"].closed_rank["llm"] = 2;
  EXPECT_EQ(Build().view.peer_closed_rank.at("llm"), 2);
}

TEST_F(ViewBuilderTest, DemandIsSharedInProportion) {
  inputs_.entries["a"].demand_milli["llm"] = 300;
  inputs_.entries["b"].demand_milli["llm"] = 100;
  EXPECT_EQ(Build().view.demand_permille_by_model.at("llm"), 750);
}

TEST_F(ViewBuilderTest, WithdrawalsOfLogAndGossipAreMerged) {
  config_.withdrawn[{"llm", "v2"}] = "faults";
  inputs_.withdrawn.insert({"llm", "v3"});
  EXPECT_EQ(Build().view.withdrawn.size(), 2U);
}

}  // namespace
}  // namespace hornbeamcleat
