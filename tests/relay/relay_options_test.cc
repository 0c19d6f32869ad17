#include "src/relay/relay_options.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>
#include <string>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class RelayOptionsTest : public testing::Test {
 protected:
  /// Settings as the platform renders them, with further lines per section.
  static RelayOptions Options(const std::string& vm = "",
                              const std::string& callers = "",
                              const std::string& targets = "",
                              const std::string& keys = "") {
    std::istringstream in(
        "[vm]\nname = n\nfailure_domain = z1\nlisten_front = 127.0.0.1:1\n"
        "listen_ready = 127.0.0.1:2\nlisten_directory = 127.0.0.1:3\n"
        "link = 127.0.0.1:4\nlisten_metrics = 127.0.0.1:5\n" +
        vm + "[store]\naddress = 127.0.0.1:6\n[callers]\n" + callers +
        "[targets]\n" + targets + "[keys]\n" + keys);
    return MakeRelayOptions(Settings::Parse(in, "test", RelaySettingRules()));
  }

  using Regions = std::map<std::string, std::string>;
};

TEST_F(RelayOptionsTest, RegionsAreReadFromTable) {
  EXPECT_EQ(Options("regions = z1=eu,z2=eu,z3=us\n").regions,
            (Regions{{"z1", "eu"}, {"z2", "eu"}, {"z3", "us"}}));
}

// The template leaves the value empty if the deployment has no zones.
TEST_F(RelayOptionsTest, MissingTableMeansNoRegions) {
  EXPECT_TRUE(Options().regions.empty());
  EXPECT_TRUE(Options("\nregions = \n").regions.empty());
  EXPECT_TRUE(Options("regions =\n").regions.empty());
}

TEST_F(RelayOptionsTest, OwnRegionAppliesToOwnDomainUnlessTableDiffers) {
  EXPECT_EQ(Options("region = eu\n").regions, (Regions{{"z1", "eu"}}));
  EXPECT_EQ(Options("region = eu\nregions = z1=us\n").regions,
            (Regions{{"z1", "us"}}));
}

// A target whose region is not certain is not used for restricted requests.
TEST_F(RelayOptionsTest, MalformedEntriesHaveNoRegion) {
  EXPECT_EQ(Options("regions = z1,=eu,z2=,,z3=us, z4=ap\n").regions,
            (Regions{{"z3", "us"}, {"z4", "ap"}}));
  EXPECT_EQ(Options("regions = z2=eu,z2=us,z3=us,z3=us\n").regions,
            (Regions{{"z3", "us"}}));
}

TEST_F(RelayOptionsTest, MissingLimitOfEvacuationsLeavesReadsAsTheyAre) {
  EXPECT_EQ(Options().operator_limit, milliseconds(5'000));
  EXPECT_EQ(Options("", "", "", "limit = 9s\n").operator_limit,
            milliseconds(9'000));
}

TEST_F(RelayOptionsTest, ShorterOfBothLimitsPacesReads) {
  EXPECT_EQ(Options("", "", "evacuate_limit = 3000ms\n", "limit = 9s\n")
                .operator_limit,
            milliseconds(3'000));
  EXPECT_EQ(Options("", "", "evacuate_limit = 8000.0ms\n", "limit = 2s\n")
                .operator_limit,
            milliseconds(2'000));
  EXPECT_EQ(Options("", "", "evacuate_limit = 600000ms\n").operator_limit,
            milliseconds(5'000));
  // Reads without pause would take up the store.
  EXPECT_EQ(Options("", "", "evacuate_limit = 0ms\n").operator_limit,
            milliseconds(1'000));
}

TEST_F(RelayOptionsTest, ListedSilenceFollowsStableWindow) {
  EXPECT_EQ(Options().max_listed_silence, milliseconds(6'000));
  EXPECT_EQ(Options("", "stable_window = 4000ms\n").max_listed_silence,
            milliseconds(6'000));
  EXPECT_EQ(Options("", "stable_window = 1000ms\n").max_listed_silence,
            milliseconds(3'000));
  EXPECT_EQ(Options("", "stable_window = 600000ms\n").max_listed_silence,
            milliseconds(602'000));
  EXPECT_EQ(Options("", "directory_keep = 60s\n").max_listed_silence,
            milliseconds(2'500));
}

}  // namespace
}  // namespace hornbeamcleat
