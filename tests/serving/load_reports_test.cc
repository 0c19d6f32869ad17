#include "src/serving/load_reports.h"

#include <gtest/gtest.h>

#include <limits>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

class LoadReportsTest : public testing::Test {
 protected:
  static TargetLoadReport Report(std::optional<double> work_time) {
    return {2, 0, 8, work_time};
  }

  /// Reports the usual work time for long enough that it is the mean.
  void ReportUsual() {
    for (int i = 0; i < 100; ++i) {
      reports_.OnReport(Report(1), 0, 8, now_);
      now_ += milliseconds(100);
    }
  }

  Time now_{milliseconds(10'000)};
  LoadReports reports_;
};

TEST_F(LoadReportsTest, WorkTimeWithoutReportIsUsual) {
  EXPECT_EQ(reports_.WorkTime(now_), 1);
  EXPECT_FALSE(reports_.HasReport());
}

TEST_F(LoadReportsTest, WorkTimeOfReportWithoutFigureIsUsual) {
  reports_.OnReport(Report(std::nullopt), 0, 8, now_);
  EXPECT_EQ(reports_.WorkTime(now_), 1);
  EXPECT_TRUE(reports_.HasReport());
}

TEST_F(LoadReportsTest, WorkTimeDecaysTowardsMeanWithAge) {
  ReportUsual();
  reports_.OnReport(Report(2.5), 0, 8, now_);
  const double at_once = reports_.WorkTime(now_);
  EXPECT_NEAR(at_once, 2.5, 0.1);
  EXPECT_NEAR(reports_.WorkTime(now_ + milliseconds(300)),
              1 + (at_once - 1) / 2, 1e-9);
  EXPECT_NEAR(reports_.WorkTime(now_ + milliseconds(3'000)), 1, 0.01);
}

// A figure that never changes says nothing, however large it is.
TEST_F(LoadReportsTest, WorkTimeOfConstantFigureIsUsual) {
  for (const double figure : {0.0002, 0.6, 3.0, 1e6}) {
    LoadReports reports;
    for (int i = 0; i < 600; ++i) {
      reports.OnReport(Report(figure), 0, 8, now_);
      now_ += milliseconds(100);
    }
    EXPECT_NEAR(reports.WorkTime(now_), 1, 0.1) << figure;
  }
}

TEST_F(LoadReportsTest, WorkTimeIsClamped) {
  ReportUsual();
  reports_.OnReport(Report(1e300), 0, 8, now_);
  EXPECT_EQ(reports_.WorkTime(now_), 4);
  reports_.OnReport(Report(1e-300), 0, 8, now_);
  EXPECT_EQ(reports_.WorkTime(now_), 0.5);
}

TEST_F(LoadReportsTest, NumbersThatAreNoneCountAsNotStated) {
  ReportUsual();
  for (const double figure :
       {std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity(), -1.0, 0.0}) {
    reports_.OnReport(Report(figure), 0, 8, now_);
    EXPECT_EQ(reports_.WorkTime(now_), 1);
  }
}

// A target whose figure is not related to its answers must not be avoided or
// preferred for it.
TEST_F(LoadReportsTest, MeasuredAnswersOutweighFalseFigure) {
  ReportUsual();
  for (int i = 0; i < 200; ++i) {
    reports_.OnReport(Report(i % 2 == 0 ? 3 : 1), 0, 8, now_);
    reports_.OnMeasured(1, now_);
    now_ += milliseconds(100);
  }
  reports_.OnReport(Report(3), 0, 8, now_);
  EXPECT_LT(reports_.WorkTime(now_), 1.1);
}

TEST_F(LoadReportsTest, MeasuredAnswersConfirmTrueFigure) {
  ReportUsual();
  for (int i = 0; i < 200; ++i) {
    const double figure = i % 7 == 0 ? 2.5 : 1;
    reports_.OnReport(Report(figure), 0, 8, now_);
    reports_.OnMeasured(figure, now_);
    now_ += milliseconds(100);
  }
  reports_.OnReport(Report(2.5), 0, 8, now_);
  EXPECT_GT(reports_.WorkTime(now_), 1.8);
}

TEST_F(LoadReportsTest, OlderReportDoesNotReplaceNewerOne) {
  ReportUsual();
  reports_.OnReport(Report(1), 0, 8, now_);
  EXPECT_FALSE(reports_.OnForwarded({0, 50, 2.5F}, 7, now_));
  EXPECT_NEAR(reports_.WorkTime(now_), 1, 0.05);
  now_ += milliseconds(100);
  EXPECT_TRUE(reports_.OnForwarded({0, 50, 2.5F}, 7, now_));
  EXPECT_GT(reports_.WorkTime(now_), 1.8);
}

TEST_F(LoadReportsTest, ForwardedReportOfExpiredAgeIsIgnored) {
  EXPECT_FALSE(reports_.OnForwarded({0, 1'001, 2.5F}, 7, now_));
  EXPECT_FALSE(reports_.OnForwarded({0, 4'294'967'295U, 2.5F}, 7, now_));
  EXPECT_FALSE(reports_.HasReport());
}

// A report that goes round among VMs would never age.
TEST_F(LoadReportsTest, ToForwardReturnsOwnRecentReportsOnly) {
  reports_.OnReport(Report(2.5), 0, 8, now_);
  now_ += milliseconds(40);
  const std::optional<ForwardedLoadReport> own = reports_.ToForward(3, now_);
  ASSERT_TRUE(own.has_value());
  EXPECT_EQ(*own, (ForwardedLoadReport{3, 40, 2.5F, 2}));
  EXPECT_FALSE(reports_.ToForward(3, now_ + milliseconds(200)).has_value());
  reports_.OnForwarded({3, 0, 1}, 7, now_);
  EXPECT_FALSE(reports_.ToForward(3, now_).has_value());
}

TEST_F(LoadReportsTest, OthersIsStatedLoadWithoutKnownLoad) {
  EXPECT_EQ(reports_.Others(now_), std::nullopt);
  reports_.OnReport({6, 3, 8, std::nullopt}, 4, 8, now_);
  EXPECT_EQ(reports_.Others(now_), 5);
  EXPECT_EQ(reports_.Others(now_ + milliseconds(1'000)), 5);
  EXPECT_EQ(reports_.Others(now_ + milliseconds(1'001)), std::nullopt);
}

TEST_F(LoadReportsTest, OthersIsNeverBelowZero) {
  reports_.OnReport({3, 0, 8, std::nullopt}, 4, 8, now_);
  EXPECT_EQ(reports_.Others(now_), 0);
}

// A target that is idle but states a million requests must not stay unused.
TEST_F(LoadReportsTest, AbsurdStatementOfLoadIsIgnored) {
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
  reports_.OnReport({kMost, kMost, kMost, std::nullopt}, 0, 8, now_);
  EXPECT_EQ(reports_.Others(now_), std::nullopt);
  reports_.OnReport({1'000, 0, 1'000, std::nullopt}, 0, 8, now_);
  EXPECT_EQ(reports_.Others(now_), std::nullopt) << "the record's slots count";
  reports_.OnReport({0, 1'000, 8, std::nullopt}, 0, 8, now_);
  EXPECT_EQ(reports_.Others(now_), std::nullopt);
  reports_.OnReport({0, 0, kMost, std::nullopt}, 0, 8, now_);
  EXPECT_EQ(reports_.Others(now_), 0);
}

// A target that always states that it is idle must not attract the requests of
// all failure domains.
TEST_F(LoadReportsTest, StatementBelowKnownLoadIsIgnored) {
  reports_.OnReport({0, 0, 8, std::nullopt}, 3, 8, now_);
  EXPECT_EQ(reports_.Others(now_), std::nullopt);
}

TEST_F(LoadReportsTest, RefusalOutweighsStatedRoom) {
  reports_.OnReport({2, 0, 8, std::nullopt}, 2, 8, now_);
  reports_.OnRefusedAsFull(now_);
  EXPECT_EQ(reports_.Others(now_), std::nullopt);
  reports_.OnReport({2, 0, 8, std::nullopt}, 2, 8, now_);
  EXPECT_EQ(reports_.Others(now_), std::nullopt);
  EXPECT_TRUE(reports_.OnForwarded({0, 0, 1, 3}, 7, now_ + milliseconds(1)));
  EXPECT_EQ(reports_.Others(now_ + milliseconds(1)), std::nullopt);
  now_ += milliseconds(5'000);
  reports_.OnReport({2, 0, 8, std::nullopt}, 2, 8, now_);
  EXPECT_EQ(reports_.Others(now_), 0);
}

TEST_F(LoadReportsTest, RefusalOfTargetThatStatesToBeFullConfirmsIt) {
  reports_.OnReport({8, 40, 8, std::nullopt}, 2, 8, now_);
  reports_.OnRefusedAsFull(now_);
  EXPECT_EQ(reports_.Others(now_), 46);
}

TEST_F(LoadReportsTest, ForwardedOthersCountByAge) {
  reports_.OnReport({6, 0, 8, std::nullopt}, 2, 8, now_);
  EXPECT_FALSE(reports_.OnForwarded({0, 50, 1, 1}, 7, now_));
  EXPECT_EQ(reports_.Others(now_), 4);
  now_ += milliseconds(100);
  EXPECT_TRUE(reports_.OnForwarded({0, 50, 1, 1}, 7, now_));
  EXPECT_EQ(reports_.Others(now_), 1);
  EXPECT_EQ(reports_.Others(now_ + milliseconds(951)), std::nullopt);
  EXPECT_TRUE(reports_.OnForwarded({0, 0, 1, std::nullopt}, 7, now_));
  EXPECT_EQ(reports_.Others(now_), std::nullopt);
}

}  // namespace
}  // namespace hornbeamcleat
