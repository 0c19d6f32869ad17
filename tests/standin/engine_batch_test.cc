#include "src/standin/engine_batch.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

class EngineBatchTest : public testing::Test {
 protected:
  static EngineSpeed Speed() {
    EngineSpeed speed;
    speed.prefill_tokens_per_second = 1'000;
    speed.step = std::chrono::milliseconds(10);
    speed.step_per_stream = std::chrono::milliseconds(1);
    speed.prefill_tokens_per_step = 100;
    speed.cache_blocks = 4;
    return speed;
  }

  static EngineJob Job(const std::string& id, std::int64_t prompt,
                       std::int64_t max) {
    EngineJob job;
    job.id = id;
    job.prompt_tokens = prompt;
    job.max_tokens = max;
    return job;
  }

  Duration Step() {
    tokens_.clear();
    return batch_.Step(&tokens_);
  }

  EngineBatch batch_{Speed()};
  std::vector<EngineToken> tokens_;
};

TEST_F(EngineBatchTest, JobIsPrefilledThenGeneratesOneTokenAStep) {
  batch_.Admit(Job("a", 50, 2));
  EXPECT_EQ(Step(), std::chrono::milliseconds(10 + 50));
  EXPECT_TRUE(tokens_.empty());
  Step();
  EXPECT_EQ(tokens_, (std::vector<EngineToken>{{"a", 1, false}}));
  Step();
  EXPECT_EQ(tokens_, (std::vector<EngineToken>{{"a", 2, true}}));
  EXPECT_EQ(Step(), Duration(0));
}

TEST_F(EngineBatchTest, StepMoreStreamsTakesLonger) {
  batch_.Admit(Job("a", 1, 9));
  batch_.Admit(Job("b", 1, 9));
  Step();
  EXPECT_EQ(Step(), std::chrono::milliseconds(12));
}

TEST_F(EngineBatchTest, LongPromptIsPrefilledInChunks) {
  batch_.Admit(Job("a", 250, 1));
  Step();
  Step();
  EXPECT_EQ(batch_.Waiting(), 1U);
  Step();
  EXPECT_EQ(batch_.Running(), 1U);
}

TEST_F(EngineBatchTest, CancelWhilePrefillingReturnsTokensSpent) {
  batch_.Admit(Job("a", 250, 1));
  Step();
  EXPECT_EQ(batch_.Cancel("a"), 100);
  EXPECT_EQ(batch_.Cancel("a"), 0);
  EXPECT_EQ(Step(), Duration(0));
}

TEST_F(EngineBatchTest, PromptHeldInCacheIsNotPrefilledAgain) {
  EngineJob first = Job("a", 48, 1);
  first.blocks = {1, 2, 3};
  EXPECT_EQ(batch_.Admit(first), 0);
  Step();
  EngineJob second = Job("b", 48, 1);
  second.blocks = {1, 2, 9};
  EXPECT_EQ(batch_.Admit(second), 32);
}

TEST_F(EngineBatchTest, CacheFullEvictsLeastRecentlyUsed) {
  PrefixCache cache(2);
  cache.Store({1});
  cache.Store({2});
  EXPECT_EQ(cache.Match({1}), 1U);
  cache.Store({3});
  EXPECT_EQ(cache.Match({2}), 0U);
  EXPECT_EQ(cache.TakeEvents().back(), (CacheEvent{4, false, 2}));
}

}  // namespace
}  // namespace hornbeamcleat
