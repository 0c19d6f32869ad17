#include "src/control/loss_facts.h"

#include <gtest/gtest.h>

#include <random>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

class LossFactsTest : public testing::Test {
 protected:
  static RequestProperty Property(int i) {
    return {PropertyKind::kPart, std::to_string(i)};
  }

  // Losses of `count` properties, the last one with two targets.
  static SequencedLosses Losses(int count, std::uint64_t sequence) {
    SequencedLosses losses;
    losses.sequence = sequence;
    for (int i = 0; i < count; ++i) {
      PropertyLoss& loss = losses.report.losses.emplace_back();
      loss.property = Property(i);
      loss.runs.resize(i == count - 1 ? 2 : 1);
    }
    losses.report.answers.push_back({Property(count), 5});
    losses.report.alive.push_back({7, 9});
    return losses;
  }
};

TEST_F(LossFactsTest, ChunksOfReportGiveReportAgain) {
  LossAssembler assembler;
  const std::vector<std::string> chunks = LossChunks(Losses(20, 3));
  EXPECT_GT(chunks.size(), 1U);
  for (const std::string& chunk : chunks) {
    assembler.Add("vm", chunk);
  }
  const SequencedLosses& joined = assembler.Losses().at("vm");
  EXPECT_EQ(joined.sequence, 3U);
  EXPECT_EQ(joined.report.losses.size(), 20U);
  EXPECT_EQ(joined.report.losses[0].property, Property(19));
  EXPECT_EQ(joined.report.answers, Losses(20, 3).report.answers);
  EXPECT_EQ(joined.report.alive, Losses(20, 3).report.alive);
}

TEST_F(LossFactsTest, ManyLossesGiveBoundedChunksWithMostLossesFirst) {
  constexpr std::size_t kMaxFactBytes = 600;
  const std::vector<std::string> chunks = LossChunks(Losses(500, 3));
  EXPECT_LE(chunks.size(), 8U);
  for (const std::string& chunk : chunks) {
    EXPECT_LT(chunk.size(), kMaxFactBytes);
  }
  LossAssembler assembler;
  assembler.Add("vm", chunks[0]);
  ASSERT_FALSE(assembler.Losses().at("vm").report.losses.empty());
  EXPECT_EQ(assembler.Losses().at("vm").report.losses[0].property,
            Property(499));
}

TEST_F(LossFactsTest, ChunksOfEarlierReportAreLeftOut) {
  LossAssembler assembler;
  const std::vector<std::string> before = LossChunks(Losses(20, 3));
  const std::vector<std::string> after = LossChunks(Losses(1, 4));
  assembler.Add("vm", before[0]);
  assembler.Add("vm", after[0]);
  assembler.Add("vm", before[1]);
  EXPECT_EQ(assembler.Losses().at("vm").report, Losses(1, 4).report);
}

TEST_F(LossFactsTest, MalformedChunkIsAnError) {
  LossAssembler assembler;
  EXPECT_THROW(assembler.Add("vm", "x"), Error);
  EXPECT_TRUE(assembler.Losses().empty());
}

TEST_F(LossFactsTest, ChunksWithChangedBytesAreReadOrRefused) {
  constexpr int kChanges = 20'000;
  std::mt19937 random(1);
  const std::vector<std::string> chunks = LossChunks(Losses(40, 3));
  int refused = 0;
  for (int i = 0; i < kChanges; ++i) {
    std::string chunk = chunks[random() % chunks.size()];
    for (std::size_t n = random() % 4; n > 0; --n) {
      chunk[random() % chunk.size()] = static_cast<char>(random());
    }
    chunk.resize(random() % 4 == 0 ? random() % chunk.size() : chunk.size());
    LossAssembler assembler;
    try {
      assembler.Add("vm", chunk);
    } catch (const Error&) {
      ++refused;
    }
  }
  EXPECT_GT(refused, 0);
  EXPECT_LT(refused, kChanges);
}

}  // namespace
}  // namespace hornbeamcleat
