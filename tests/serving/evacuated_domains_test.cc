#include "src/serving/evacuated_domains.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

using Domains = std::set<std::string>;

class EvacuatedDomainsTest : public testing::Test {
 protected:
  const Time start_{milliseconds(10'000)};
  EvacuatedDomains domains_{start_};
};

TEST_F(EvacuatedDomainsTest, DomainsOfStoreAreActiveAtAnyTime) {
  domains_.SetStored({"a", "b"});
  EXPECT_EQ(domains_.Active(start_), (Domains{"a", "b"}));
  EXPECT_EQ(domains_.Active(start_ + milliseconds(100'000)),
            (Domains{"a", "b"}));
  domains_.SetStored({"b"});
  EXPECT_EQ(domains_.Active(start_), Domains{"b"});
}

// The copy of the store that a started VM reads may lack the record.
TEST_F(EvacuatedDomainsTest, StartedVmAdoptsDomainsOfPeers) {
  domains_.SetStored({"a"});
  domains_.SetPeer("p", {"b"}, start_ + milliseconds(50));
  domains_.SetPeer("q", {"b", "c"}, start_ + milliseconds(50));
  EXPECT_EQ(domains_.Active(start_ + milliseconds(100)),
            (Domains{"a", "b", "c"}));
  domains_.SetPeer("q", {}, start_ + milliseconds(200));
  EXPECT_EQ(domains_.Active(start_ + milliseconds(200)), (Domains{"a", "b"}));
  domains_.ForgetPeer("p");
  EXPECT_EQ(domains_.Active(start_ + milliseconds(200)), Domains{"a"});
}

// A peer that cannot read the store must not prolong an evacuation for all.
TEST_F(EvacuatedDomainsTest, ReportsOfPeersEndWithAdoptionTime) {
  domains_.SetPeer("p", {"b"}, start_);
  const Time end = start_ + EvacuatedDomains::kAdoptionTime;
  EXPECT_EQ(domains_.Active(end - milliseconds(1)), Domains{"b"});
  EXPECT_TRUE(domains_.Active(end).empty());
  domains_.SetPeer("p", {"b"}, end);
  EXPECT_TRUE(domains_.Active(end).empty());
}

// Adopted domains would otherwise pass from one started VM to the next.
TEST_F(EvacuatedDomainsTest, OnlyDomainsOfStoreAreReported) {
  domains_.SetStored({"a"});
  domains_.SetPeer("p", {"b"}, start_);
  EXPECT_EQ(domains_.Stored(), std::vector<std::string>{"a"});
}

TEST_F(EvacuatedDomainsTest, ReportsAreBounded) {
  Domains many;
  for (int i = 0; i < 1'000; ++i) {
    many.insert(std::to_string(i));
  }
  domains_.SetStored(many);
  EXPECT_EQ(domains_.Stored().size(), EvacuatedDomains::kMaxReported);
  EXPECT_EQ(domains_.Active(start_).size(), 1'000U);
}

}  // namespace
}  // namespace hornbeamcleat
