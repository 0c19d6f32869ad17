#include "hornbeamcleat/agree/key_date.h"

#include <gtest/gtest.h>

#include "hornbeamcleat/agree/intents.h"

namespace hornbeamcleat {
namespace {

class KeyDateTest : public testing::Test {
 protected:
  static constexpr WallTime kDate{std::chrono::milliseconds(1'700'000'000'000)};
};

TEST_F(KeyDateTest, UuidVersion7AndPrefixGiveTheirDate) {
  EXPECT_EQ(KeyDate("018bcfe5-6800-7abc-8def-0123456789ab"), kDate);
  EXPECT_EQ(KeyDate("1700000000000-booking"), kDate);
}

TEST_F(KeyDateTest, OtherKeysHaveNoDate) {
  for (const char* key :
       {"", "booking", "018bcfe5-6800-4abc-8def-0123456789ab",
        "018bcfe5_6800-7abc-8def-0123456789ab", "1700000000000",
        "170000000000x-booking", "-700000000000-booking"}) {
    EXPECT_FALSE(KeyDate(key)) << key;
  }
}

TEST_F(KeyDateTest, ScopedKeyKeepsDateAndDiffersByRoute) {
  const std::string key = "018bcfe5-6800-7abc-8def-0123456789ab";
  const std::string scoped = ScopedKey(key, "Kilimanjaro é", "book");
  EXPECT_EQ(KeyDate(scoped), kDate);
  EXPECT_NE(scoped, ScopedKey(key, "Kilimanjaro", "book"));
  EXPECT_NE(ScopedKey(key, "ab", "c"), ScopedKey(key, "a", "bc"));
}

TEST_F(KeyDateTest, ScopedKeyIsTakenByIntents) {
  const std::unique_ptr<Intents> intents = Intents::Make("e#1", {});
  const std::string key =
      ScopedKey("1700000000000-booking", "Kilimanjaro é", "book");
  EXPECT_FALSE(intents->Propose("r1", key, Time()));
}

}  // namespace
}  // namespace hornbeamcleat
