#include <gtest/gtest.h>

#include <random>

#include "hornbeamcleat/agree/intents.h"
#include "hornbeamcleat/agree/lease.h"
#include "hornbeamcleat/base/error.h"
#include "src/agree/intent_record.h"
#include "src/agree/lease_record.h"

namespace hornbeamcleat {
namespace {

class RecordFuzzTest : public testing::Test {
 protected:
  static constexpr int kInputs = 20'000;

  std::string Mutate(std::string text) {
    for (std::uint32_t n = 1 + random_() % 4; n > 0; --n) {
      text[random_() % text.size()] = static_cast<char>(random_());
    }
    if (random_() % 4 == 0) {
      text.resize(random_() % text.size());
    }
    return text;
  }

  std::mt19937 random_{29};
};

TEST_F(RecordFuzzTest, IntentMutatedIsRefusedOrFolded) {
  const std::string good =
      EncodeIntent({"e#1", {{1, "1700000000000-k"}}, {{2, "r", "k"}}});
  ASSERT_EQ(EncodeIntent(DecodeIntent(good)), good);
  const std::unique_ptr<Intents> intents = Intents::Make("e#1", {});
  std::uint64_t offset = 0;
  int refused = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = Mutate(good);
    try {
      DecodeIntent(text);
    } catch (const Error&) {
      ++refused;
    }
    EXPECT_TRUE(intents->OnRecord(++offset, WallTime(), text, Time()).empty());
  }
  EXPECT_GT(refused, kInputs / 4);
  EXPECT_LT(refused, kInputs);
}

TEST_F(RecordFuzzTest, LeaseMutatedIsRefusedOrFolded) {
  const std::string good = EncodeLease({"move/m1", "b#1", 1, 2, 3, false});
  ASSERT_EQ(DecodeLease(good), (LeaseRecord{"move/m1", "b#1", 1, 2, 3, false}));
  const std::unique_ptr<Lease> lease = Lease::Make("move/m1", "a#1", {});
  std::uint64_t offset = 0;
  int refused = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = Mutate(good);
    try {
      DecodeLease(text);
    } catch (const Error&) {
      ++refused;
    }
    lease->OnRecord(++offset, text, Time());
    EXPECT_FALSE(lease->Holds(Time()));
  }
  EXPECT_GT(refused, kInputs / 4);
  EXPECT_LT(refused, kInputs);
}

TEST_F(RecordFuzzTest, OversizedRecordsAreRefused) {
  EXPECT_THROW(DecodeIntent(std::string(2 * 1024 * 1024, ' ')), Error);
  EXPECT_THROW(DecodeLease(std::string(64 * 1024, ' ')), Error);
}

}  // namespace
}  // namespace hornbeamcleat
