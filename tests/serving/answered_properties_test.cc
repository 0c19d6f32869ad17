#include "src/serving/answered_properties.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamcleat {
namespace {

using std::chrono::seconds;

constexpr Duration kLifetime = seconds(30);

class AnsweredPropertiesTest : public testing::Test {
 protected:
  const RequestProperty part_ = {PropertyKind::kPart, "p"};
  Time now_ = Time(seconds(1'000));
  AnsweredProperties answered_;
};

TEST_F(AnsweredPropertiesTest, LatestAnswerCountsWhoeverSawIt) {
  EXPECT_FALSE(answered_.LatestBegin(part_).has_value());
  answered_.Add(part_, now_, true, now_);
  answered_.Add(part_, now_ - seconds(1), false, now_);
  EXPECT_EQ(answered_.LatestBegin(part_), now_);
  EXPECT_EQ(answered_.LatestOwnBegin(part_), now_);
  answered_.Add(part_, now_ + seconds(1), false, now_ + seconds(1));
  EXPECT_EQ(answered_.LatestBegin(part_), now_ + seconds(1));
  EXPECT_FALSE(answered_.LatestOwnBegin(part_).has_value());
}

TEST_F(AnsweredPropertiesTest, PropertyAnsweredAgainDoesNotExpire) {
  for (int i = 0; i < 20; ++i) {
    answered_.Add(part_, now_, true, now_);
    now_ += seconds(6);
    answered_.Expire(kLifetime, now_);
    EXPECT_TRUE(answered_.LatestBegin(part_).has_value()) << i;
  }
  answered_.Expire(kLifetime, now_ + kLifetime);
  EXPECT_FALSE(answered_.LatestBegin(part_).has_value());
}

TEST_F(AnsweredPropertiesTest, OldestAreEvictedBeyondBound) {
  answered_.Add(part_, now_, true, now_);
  for (std::size_t i = 0; i < AnsweredProperties::kMaxProperties; ++i) {
    answered_.Add({PropertyKind::kContent, std::to_string(i)}, now_, true,
                  now_);
  }
  answered_.Expire(kLifetime, now_);
  EXPECT_FALSE(answered_.LatestBegin(part_).has_value());
  EXPECT_TRUE(answered_.LatestBegin({PropertyKind::kContent, "0"}).has_value());
}

}  // namespace
}  // namespace hornbeamcleat
