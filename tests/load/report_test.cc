#include "src/load/report.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "src/load/arrival_plan.h"

namespace hornbeamcleat {
namespace {

class ReportTest : public testing::Test {
 protected:
  ReportTest() {
    experiment_.classes = {Class("gold", 0, 3), Class("silver", 1, 1)};
    experiment_.length = std::chrono::seconds(2);
  }

  static RequestClass Class(const std::string& tier, int rank, double weight) {
    RequestClass out;
    out.tier = tier;
    out.rank = rank;
    out.weight = weight;
    out.model = "assistant";
    return out;
  }

  static RequestRecord Record(std::size_t request_class, int intended_ms,
                              RequestEnd end, const std::string& reason = "") {
    RequestRecord out;
    out.request_class = request_class;
    out.intended = std::chrono::milliseconds(intended_ms);
    out.first_part = out.intended + std::chrono::milliseconds(10);
    out.end = end;
    out.outcome = reason.empty() ? "" : "not_run";
    out.reason = reason;
    out.prompt_tokens = 100;
    out.cached_tokens = 20;
    return out;
  }

  Experiment experiment_;
};

TEST_F(ReportTest, GoodputIsWeightedByClass) {
  const RunReport report = MakeReport(experiment_,
                                      {{Record(0, 0, RequestEnd::kWholeInTime),
                                        Record(1, 1, RequestEnd::kWholeLate)},
                                       {}},
                                      EngineWork());
  EXPECT_DOUBLE_EQ(report.total.GoodputRatio(), 0.75);
  EXPECT_DOUBLE_EQ(report.tiers.at("1 silver").GoodputRatio(), 0);
  EXPECT_DOUBLE_EQ(report.goodput_per_second, 1.5);
  EXPECT_DOUBLE_EQ(report.total.first_part.p99, 10);
}

TEST_F(ReportTest, PrefillOfLateAnswersIsWasted) {
  EngineWork work;
  work.prefill_tokens = 160;
  const RunReport report = MakeReport(experiment_,
                                      {{Record(0, 0, RequestEnd::kWholeInTime),
                                        Record(1, 1, RequestEnd::kWholeLate)},
                                       {}},
                                      work);
  EXPECT_DOUBLE_EQ(report.wasted_prefill_ratio, 0.5);
}

TEST_F(ReportTest, LowerTierServedSoonAfterRefusalIsInversion) {
  const std::vector<RequestRecord> records = {
      Record(0, 100, RequestEnd::kRefused, "tier_closed"),
      Record(1, 300, RequestEnd::kWholeInTime)};
  EXPECT_EQ(CountInversions(experiment_, records), 1);
}

TEST_F(ReportTest, LowerTierServedBeforeOrLongAfterIsNoInversion) {
  const std::vector<RequestRecord> records = {
      Record(1, 90, RequestEnd::kWholeInTime),
      Record(0, 100, RequestEnd::kRefused, "tier_closed"),
      Record(1, 351, RequestEnd::kWholeInTime)};
  EXPECT_EQ(CountInversions(experiment_, records), 0);
}

TEST_F(ReportTest, RefusalForOtherReasonsIsNoInversion) {
  const std::vector<RequestRecord> records = {
      Record(0, 100, RequestEnd::kRefused, "poison"),
      Record(1, 110, RequestEnd::kWholeInTime)};
  EXPECT_EQ(CountInversions(experiment_, records), 0);
}

TEST_F(ReportTest, QuantilesAreExact) {
  std::vector<std::uint32_t> sample(1'000);
  std::iota(sample.begin(), sample.end(), 1);
  EXPECT_EQ(MakeQuantiles(sample), (Quantiles{0.5, 0.95, 0.99, 1.0}));
  EXPECT_EQ(MakeQuantiles({}), Quantiles());
}

TEST_F(ReportTest, CsvHasOneRowForEachRequest) {
  const std::string csv =
      FormatCsv(experiment_, {{Record(0, 5, RequestEnd::kRefused, "a,b")}, {}});
  EXPECT_EQ(std::count(csv.begin(), csv.end(), '\n'), 2);
  EXPECT_NE(csv.find("refused,not_run,a;b"), std::string::npos);
}

TEST_F(ReportTest, PlanSameSeedIsSameAndInOrder) {
  experiment_.arrivals.per_second = 500;
  const std::vector<PlannedRequest> plan = PlanArrivals(experiment_);
  EXPECT_EQ(plan, PlanArrivals(experiment_));
  EXPECT_TRUE(
      std::is_sorted(plan.begin(), plan.end(),
                     [](const PlannedRequest& a, const PlannedRequest& b) {
                       return a.at < b.at;
                     }));
  EXPECT_NEAR(static_cast<double>(plan.size()), 1'000, 150);
  experiment_.seed = 2;
  EXPECT_NE(plan, PlanArrivals(experiment_));
}

TEST_F(ReportTest, PlanBurstRaisesRateOnlyWithinIt) {
  experiment_.arrivals = {100, 10, std::chrono::seconds(1),
                          std::chrono::milliseconds(100)};
  int inside = 0;
  int outside = 0;
  for (const PlannedRequest& each : PlanArrivals(experiment_)) {
    ++(each.at % std::chrono::seconds(1) < std::chrono::milliseconds(100)
           ? inside
           : outside);
  }
  EXPECT_NEAR(inside, 200, 60);
  EXPECT_NEAR(outside, 180, 60);
}

TEST_F(ReportTest, PromptSamePrefixSharesItsBytes) {
  PlannedRequest a;
  a.id = "a";
  a.prompt_bytes = 200;
  PlannedRequest b = a;
  b.id = "b";
  const PromptShape shape{5, 128, 10};
  EXPECT_EQ(PromptText(a, shape).substr(0, 128),
            PromptText(b, shape).substr(0, 128));
  EXPECT_NE(PromptText(a, shape), PromptText(b, shape));
  EXPECT_EQ(PromptText(a, shape).size(), 200U);
}

}  // namespace
}  // namespace hornbeamcleat
