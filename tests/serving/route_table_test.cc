#include "hornbeamcleat/serving/route_table.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamcleat {
namespace {

class RouteTableTest : public testing::Test {
 protected:
  static ServingRoute Route(const std::string& host, const std::string& prefix,
                            const std::string& service) {
    ServingRoute route;
    route.host = host;
    route.path_prefix = prefix;
    route.shares = {{service, 1}};
    return route;
  }

  static ServingConfig Config() {
    ServingConfig config;
    config.routes = {
        Route("a.example", "/", "root"), Route("a.example", "/x/", "x"),
        Route("a.example", "/x/y/", "xy"), Route("b.example", "/x/", "other")};
    ServingWorkspace workspace;
    workspace.name = "w";
    workspace.keys = {"k1", "k2"};
    config.workspaces = {workspace};
    return config;
  }

  const RouteTable table_{Config()};
};

TEST_F(RouteTableTest, FindWithNestedPrefixesTakesLongest) {
  EXPECT_EQ(table_.Find("a.example", "/x/y/z")->shares[0].service, "xy");
  EXPECT_EQ(table_.Find("a.example", "/x/z")->shares[0].service, "x");
  EXPECT_EQ(table_.Find("a.example", "/z")->shares[0].service, "root");
}

TEST_F(RouteTableTest, FindWithPathThatOnlyStartsLikeAPrefixSkipsIt) {
  EXPECT_EQ(table_.Find("b.example", "/xy"), nullptr);
  EXPECT_EQ(table_.Find("b.example", "/x"), nullptr);
}

TEST_F(RouteTableTest, FindWithPortAndUpperCaseHostMatches) {
  EXPECT_NE(table_.Find("B.Example:8080", "/x/"), nullptr);
}

TEST_F(RouteTableTest, FindWithUnknownHostGivesNothing) {
  EXPECT_EQ(table_.Find("c.example", "/x/"), nullptr);
}

TEST_F(RouteTableTest, FindWorkspaceWithEachKeyFindsHolder) {
  EXPECT_EQ(table_.FindWorkspace("k2")->name, "w");
  EXPECT_EQ(table_.FindWorkspace("k3"), nullptr);
}

TEST_F(RouteTableTest, PickServiceFollowsWeights) {
  ServingRoute route;
  route.shares = {{"a", 90}, {"none", 0}, {"b", 10}};
  int b = 0;
  constexpr int kTrials = 1'000;
  for (int i = 0; i < kTrials; ++i) {
    const std::uint64_t seed =
        ~std::uint64_t{0} / kTrials * static_cast<std::uint64_t>(i);
    const std::string service = PickService(route, seed);
    EXPECT_NE(service, "none");
    b += service == "b" ? 1 : 0;
  }
  EXPECT_NEAR(b, 0.1 * kTrials, 2);
}

}  // namespace
}  // namespace hornbeamcleat
