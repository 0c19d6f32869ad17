#include "hornbeamcleat/config/watch_buffer.h"

#include <gtest/gtest.h>

#include <random>

namespace hornbeamcleat {
namespace {

class WatchBufferTest : public testing::Test {
 protected:
  void Add(std::uint64_t revision) {
    buffer_.Add({WatchEventType::kPut, revision, "Tier", "gold", "{}"});
    buffer_.Advance(revision);
  }

  WatchBuffer buffer_{10, 100'000};
};

TEST_F(WatchBufferTest, ReadFromRevisionGivesLaterEventsOnly) {
  Add(3);
  Add(5);
  const WatchRead read = buffer_.Read(3, 10);
  ASSERT_EQ(read.events.size(), 1U);
  EXPECT_EQ(read.events[0].revision, 5U);
  EXPECT_EQ(read.next, 5U);
}

TEST_F(WatchBufferTest, ReadNothingNewGivesBookmarkOnlyIfTheRevisionRose) {
  Add(3);
  EXPECT_TRUE(buffer_.Read(3, 10).events.empty());
  buffer_.Advance(9);
  const WatchRead read = buffer_.Read(3, 10);
  ASSERT_EQ(read.events.size(), 1U);
  EXPECT_EQ(read.events[0].type, WatchEventType::kBookmark);
  EXPECT_EQ(read.next, 9U);
}

TEST_F(WatchBufferTest, ReadOlderThanKeptIsCompacted) {
  for (std::uint64_t i = 1; i <= 12; ++i) {
    Add(i);
  }
  EXPECT_TRUE(buffer_.Read(1, 10).compacted);
  EXPECT_FALSE(buffer_.Read(2, 10).compacted);
  buffer_.Reset(40);
  EXPECT_TRUE(buffer_.Read(12, 10).compacted);
}

TEST_F(WatchBufferTest, ReadAheadOfThisMemberWaitsAndNeverGoesBack) {
  Add(3);
  const WatchRead read = buffer_.Read(7, 10);
  EXPECT_FALSE(read.compacted);
  EXPECT_TRUE(read.events.empty());
  EXPECT_EQ(read.next, 7U);
}

TEST_F(WatchBufferTest, AddBeyondBytesDropsOldest) {
  WatchBuffer small(1'000, 1'000);
  for (std::uint64_t i = 1; i <= 100; ++i) {
    small.Add({WatchEventType::kPut, i, "Tier", "gold", std::string(100, 'x')});
  }
  small.Advance(100);
  EXPECT_TRUE(small.Read(50, 10).compacted);
  EXPECT_FALSE(small.Read(99, 10).events.empty());
}

TEST_F(WatchBufferTest, RandomReadersSeeEachEventOnceOrAreTold) {
  constexpr int kSteps = 20'000;
  std::mt19937 random(23);
  std::uint64_t revision = 0;
  std::uint64_t from = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> seen;
  int compacted = 0;
  for (int i = 0; i < kSteps; ++i) {
    if (random() % 2 == 0) {
      revision += 1 + random() % 2;
      for (std::uint32_t n = 1 + random() % 2; n > 0; --n) {
        buffer_.Add({WatchEventType::kPut, revision, "k", "n", ""});
        added.push_back(revision);
      }
      buffer_.Advance(revision);
    }
    if (random() % 3 != 0) {
      continue;
    }
    const WatchRead read = buffer_.Read(from, 1 + random() % 3);
    if (read.compacted) {
      ++compacted;
      from = buffer_.Revision();
      std::erase_if(added, [&](std::uint64_t it) { return it <= from; });
      seen.clear();
      continue;
    }
    for (const WatchEvent& event : read.events) {
      if (event.type == WatchEventType::kPut) {
        seen.push_back(event.revision);
      }
    }
    from = read.next;
    ASSERT_LE(seen.size(), added.size());
    ASSERT_TRUE(std::equal(seen.begin(), seen.end(), added.begin()));
    const std::size_t kept = static_cast<std::size_t>(
        std::count_if(added.begin(), added.end(),
                      [&](std::uint64_t it) { return it <= from; }));
    ASSERT_EQ(seen.size(), kept);
  }
  EXPECT_GT(compacted, 0);
}

}  // namespace
}  // namespace hornbeamcleat
