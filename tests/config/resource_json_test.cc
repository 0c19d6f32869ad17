#include "hornbeamcleat/config/resource_json.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

class ResourceJsonTest : public testing::Test {
 protected:
  static Resource Move() {
    MoveSpec spec;
    spec.model = "llm";
    spec.from_version = "v1";
    spec.to_version = "v2";
    spec.deadline = WallTime(std::chrono::milliseconds(1'700'000'000'000));
    spec.steps_permille = {10, 500, 1000};
    return {"m1", 7, spec};
  }

  static Resource Workspace() {
    WorkspaceSpec spec;
    spec.tier = "gold";
    spec.weight = 2.5;
    spec.applications = {{"book", "hire", false}, {"chat", "llm", true}};
    return {"w1", 0, spec};
  }
};

TEST_F(ResourceJsonTest, FormatEachKindParsesBackEqual) {
  TargetSpec target;
  target.address = "127.0.0.1:9";
  target.model = "llm";
  target.version = "v1";
  const std::vector<Resource> all = {Move(),
                                     Workspace(),
                                     {"t", 1, target},
                                     {"gold", 2, TierSpec{}},
                                     {"v1", 3, VersionSpec{"llm", "w", 5}}};
  for (const Resource& resource : all) {
    EXPECT_EQ(ParseResource(FormatResource(resource)), resource);
    EXPECT_NO_THROW(ValidateResource(resource));
  }
}

TEST_F(ResourceJsonTest, ParseUnknownMemberIsIgnored) {
  const Resource tier = ParseResource(
      R"({"kind":"Tier","metadata":{"name":"g"},"spec":{"rank":1,"new":[1]}})");
  EXPECT_EQ(std::get<TierSpec>(tier.spec).rank, 1);
}

TEST_F(ResourceJsonTest, ParseMissingMemberNamesIt) {
  try {
    ParseResource(R"({"kind":"Tier","metadata":{"name":"g"},"spec":{}})");
    FAIL();
  } catch (const Error& e) {
    EXPECT_THAT(e.what(), testing::HasSubstr("'rank'"));
  }
}

TEST_F(ResourceJsonTest, ParseDeepNestingIsRefused) {
  EXPECT_THROW(ParseResource(std::string(10'000, '[')), Error);
}

TEST_F(ResourceJsonTest, ParseTruncationsNeverCrash) {
  const std::string text = FormatResource(Move());
  for (std::size_t n = 0; n < text.size(); ++n) {
    EXPECT_THROW(ParseResource(text.substr(0, n)), Error) << n;
  }
}

TEST_F(ResourceJsonTest, ValidateStepsThatFallIsRefused) {
  Resource move = Move();
  std::get<MoveSpec>(move.spec).steps_permille = {500, 10, 1000};
  EXPECT_THROW(ValidateResource(move), Error);
}

}  // namespace
}  // namespace hornbeamcleat
