#include "src/standin/log_store.h"

#include <gtest/gtest.h>

#include "src/standin/token_bucket.h"

namespace hornbeamcleat {
namespace {

class LogStoreTest : public testing::Test {
 protected:
  static WallTime At(int seconds) {
    return WallTime(std::chrono::seconds(seconds));
  }

  LogStore store_;
  Retention retention_{3, std::chrono::seconds(60)};
};

TEST_F(LogStoreTest, AppendReturnsFirstOffsetAndStreamsAreApart) {
  EXPECT_EQ(store_.Append("a", {"x", "y"}, At(0), retention_), 1U);
  EXPECT_EQ(store_.Append("a", {"z"}, At(0), retention_), 3U);
  EXPECT_EQ(store_.Append("b", {"z"}, At(0), retention_), 1U);
}

TEST_F(LogStoreTest, ReadExpiredOffsetStartsAtOldest) {
  store_.Append("a", {"1", "2", "3", "4", "5"}, At(0), retention_);
  const LogRead read = store_.Read("a", 1, 10, At(0), retention_);
  EXPECT_EQ(read.oldest, 3U);
  ASSERT_EQ(read.records.size(), 3U);
  EXPECT_EQ(read.records.front().payload, "3");
}

TEST_F(LogStoreTest, ReadRecordsTooOldAreGoneAndOffsetsGoOn) {
  store_.Append("a", {"1"}, At(0), retention_);
  const LogRead read = store_.Read("a", 1, 10, At(61), retention_);
  EXPECT_TRUE(read.records.empty());
  EXPECT_EQ(read.oldest, 2U);
  EXPECT_EQ(store_.Append("a", {"2"}, At(61), retention_), 2U);
}

TEST_F(LogStoreTest, TokenBucketEmptyRefusesUntilRefilled) {
  TokenBucket bucket(10, 2);
  const Time start{};
  EXPECT_TRUE(bucket.Take(2, start));
  EXPECT_FALSE(bucket.Take(1, start + std::chrono::milliseconds(99)));
  EXPECT_TRUE(bucket.Take(1, start + std::chrono::milliseconds(100)));
}

}  // namespace
}  // namespace hornbeamcleat
