#include "src/serving/evacuation_orders.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

using Domains = std::set<std::string>;
using Changes = std::vector<EvacuationChange>;

class EvacuationOrdersTest : public testing::Test {
 protected:
  Time now_{milliseconds(10'000)};
  EvacuationOrders orders_;
};

TEST_F(EvacuationOrdersTest, RecordBeginsAndItsRemovalEndsEvacuation) {
  EXPECT_EQ(orders_.OnRecord("a", true),
            (EvacuationChange{"a", true, EvacuationCause::kRecord}));
  EXPECT_EQ(orders_.Active(), Domains{"a"});
  EXPECT_EQ(orders_.OnRecord("a", false),
            (EvacuationChange{"a", false, EvacuationCause::kRecord}));
  EXPECT_TRUE(orders_.Active().empty());
}

TEST_F(EvacuationOrdersTest, SameDomainTwiceIsOneChange) {
  EXPECT_TRUE(orders_.OnRecord("a", true).has_value());
  EXPECT_FALSE(orders_.OnRecord("a", true).has_value());
  EXPECT_TRUE(orders_.SetListed({"a"}, now_).empty());
  EXPECT_TRUE(orders_.OnRecord("a", false).has_value());
  EXPECT_FALSE(orders_.OnRecord("a", false).has_value());
}

TEST_F(EvacuationOrdersTest, DomainsBeginAndEndIndependently) {
  EXPECT_EQ(orders_.SetListed({"a", "b"}, now_).size(), 2U);
  EXPECT_EQ(orders_.SetListed({"b", "c"}, now_),
            (Changes{{"c", true, EvacuationCause::kList},
                     {"a", false, EvacuationCause::kList}}));
  EXPECT_EQ(orders_.Active(), (Domains{"b", "c"}));
}

// A copy that lacks the record must not send requests back to a failing domain
// before the operators have written again.
TEST_F(EvacuationOrdersTest, ListRightAfterRestoreEndsNothing) {
  orders_.OnRecord("a", true);
  orders_.OnRestored(now_);
  EXPECT_TRUE(orders_.SetListed({}, now_ + milliseconds(5)).empty());
  EXPECT_TRUE(orders_.OnCaughtUp(now_ + milliseconds(2'999)).empty());
  EXPECT_EQ(orders_.Active(), Domains{"a"});
  EXPECT_EQ(orders_.OnCaughtUp(now_ + milliseconds(3'000)),
            (Changes{{"a", false, EvacuationCause::kRestored}}));
  EXPECT_TRUE(orders_.Active().empty());
}

TEST_F(EvacuationOrdersTest, RecordWrittenAgainOutlastsRestore) {
  orders_.OnRecord("a", true);
  orders_.OnRestored(now_);
  orders_.SetListed({}, now_);
  EXPECT_FALSE(orders_.OnRecord("a", true).has_value());
  EXPECT_TRUE(orders_.OnCaughtUp(now_ + milliseconds(60'000)).empty());
  EXPECT_EQ(orders_.Active(), Domains{"a"});
}

TEST_F(EvacuationOrdersTest, RecordRemovedAfterRestoreEndsAtOnce) {
  orders_.OnRecord("a", true);
  orders_.OnRestored(now_);
  orders_.SetListed({}, now_);
  EXPECT_EQ(orders_.OnRecord("a", false),
            (EvacuationChange{"a", false, EvacuationCause::kRecord}));
}

// The time in which operators write again begins with the latest restore.
TEST_F(EvacuationOrdersTest, SecondRestoreExtendsTheTime) {
  orders_.OnRecord("a", true);
  orders_.OnRestored(now_);
  orders_.SetListed({}, now_);
  orders_.OnRestored(now_ + milliseconds(2'500));
  orders_.SetListed({}, now_ + milliseconds(2'600));
  EXPECT_TRUE(orders_.OnCaughtUp(now_ + milliseconds(5'000)).empty());
  EXPECT_EQ(orders_.OnCaughtUp(now_ + milliseconds(5'500)).size(), 1U);
}

// Without reads, nothing shows that operators did not write the record again.
TEST_F(EvacuationOrdersTest, ReadSentBeforeTimeIsOverEndsNothing) {
  orders_.OnRecord("a", true);
  orders_.OnRestored(now_);
  orders_.SetListed({}, now_ + milliseconds(100));
  EXPECT_TRUE(orders_.SetListed({}, now_ + milliseconds(2'900)).empty());
  EXPECT_EQ(orders_.SetListed({}, now_ + milliseconds(30'000)),
            (Changes{{"a", false, EvacuationCause::kRestored}}));
}

TEST_F(EvacuationOrdersTest, ListWithoutRecordLongAfterRestoreEndsEvacuation) {
  orders_.OnRestored(now_);
  orders_.OnRecord("a", true);
  EXPECT_EQ(orders_.SetListed({}, now_ + milliseconds(10'000)),
            (Changes{{"a", false, EvacuationCause::kList}}));
}

}  // namespace
}  // namespace hornbeamcleat
