#include "hornbeamcleat/move/evidence_table.h"

#include <gtest/gtest.h>

namespace hornbeamcleat {
namespace {

class EvidenceTableTest : public testing::Test {
 protected:
  static VersionEvidence Cell(const std::string& version, std::uint64_t done) {
    VersionEvidence cell;
    cell.model = "llm";
    cell.version = version;
    cell.workspace = "w";
    cell.application = "a";
    cell.done = done;
    cell.first_part_sum = 0.5 * static_cast<double>(done);
    return cell;
  }

  std::uint64_t Done() const {
    std::uint64_t done = 0;
    for (const VersionEvidence& cell : table_->Merged()) {
      done += cell.done;
    }
    return done;
  }

  const std::unique_ptr<EvidenceTable> table_ = EvidenceTable::Make();
};

TEST_F(EvidenceTableTest, SumsOfTwoEntriesAddUp) {
  table_->Report("e1", 1, {Cell("v2", 3)});
  table_->Report("e2", 1, {Cell("v2", 4)});
  ASSERT_EQ(table_->Merged().size(), 1U);
  EXPECT_EQ(table_->Merged()[0].done, 7U);
  EXPECT_DOUBLE_EQ(table_->Merged()[0].first_part_sum, 3.5);
}

TEST_F(EvidenceTableTest, RepeatedReportCountsOnce) {
  table_->Report("e1", 1, {Cell("v2", 3)});
  table_->Report("e1", 1, {Cell("v2", 3)});
  EXPECT_EQ(Done(), 3U);
}

TEST_F(EvidenceTableTest, ReorderedReportIsIgnored) {
  table_->Report("e1", 1, {Cell("v2", 5)});
  table_->Report("e1", 1, {Cell("v2", 3)});
  EXPECT_EQ(Done(), 5U);
}

TEST_F(EvidenceTableTest, RestartedEntryKeepsItsEarlierSums) {
  table_->Report("e1", 1, {Cell("v2", 5)});
  table_->Report("e1", 2, {Cell("v2", 1)});
  EXPECT_EQ(Done(), 6U);
}

TEST_F(EvidenceTableTest, LateReportOfAnEarlierIncarnationIsDropped) {
  table_->Report("e1", 2, {Cell("v2", 5)});
  EXPECT_FALSE(table_->Report("e1", 1, {Cell("v2", 9)}));
  EXPECT_EQ(Done(), 5U);
}

TEST_F(EvidenceTableTest, OtherModelsAreExcluded) {
  VersionEvidence other = Cell("v2", 9);
  other.model = "other";
  table_->Report("e1", 1, {Cell("v2", 2), other});
  ASSERT_EQ(table_->Merged("llm").size(), 1U);
  EXPECT_EQ(table_->Merged("llm")[0].done, 2U);
}

}  // namespace
}  // namespace hornbeamcleat
