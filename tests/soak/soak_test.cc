#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "tests/soak/soak_world.h"

namespace hornbeamcleat {
namespace {

// Seeds that once failed stay here, each with its cause.
// 1: proofs of freshness were stale half of the time under a short life of
// keys. 4: a daemon ended when an answer of the store met its time-out.
// 2, 5, 7: an unframed stream that ended inside an event looked complete.
const std::vector<std::uint64_t> kRegressionSeeds = {1, 2, 4, 5, 7};

// Further seeds by hand: HORNBEAMCLEAT_SOAK=FIRST-LAST.
std::vector<std::uint64_t> Seeds() {
  std::vector<std::uint64_t> seeds = kRegressionSeeds;
  const char* range = std::getenv("HORNBEAMCLEAT_SOAK");
  if (range != nullptr) {
    const std::string text = range;
    const std::size_t dash = text.find('-');
    seeds.clear();
    for (std::uint64_t seed = std::stoull(text.substr(0, dash));
         seed <= std::stoull(text.substr(dash + 1)); ++seed) {
      seeds.push_back(seed);
    }
  }
  return seeds;
}

class SoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SoakTest, FaultsFromOutsideBreakNoPromise) {
  SoakWorld::Options options;
  options.seed = GetParam();
  SoakWorld world(options);
  world.Run();
  std::string faults;
  for (const std::string& fault : world.Faults()) {
    faults += fault + "; ";
  }
  for (const std::string& violation : world.Violations()) {
    ADD_FAILURE() << violation << "\nfaults: " << faults;
  }
  EXPECT_GT(world.Served(), 100);
  fmt::print("seed {}: {} of {} served, {} faults\n", options.seed,
             world.Served(), world.Asked(), world.Faults().size());
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace hornbeamcleat
