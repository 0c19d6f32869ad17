#include "src/serving/shared_rate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <optional>
#include <random>
#include <vector>

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kWindow = milliseconds(4'000);
constexpr Duration kPlayed = milliseconds(60'000);
constexpr double kRateFactor = 1.5;
constexpr int kExtraRequests = 5;

/// VMs that share a rate and always have a request for it.
class SharedRateTest : public testing::Test {
 protected:
  /// @param group_of group of VMs by the VM's number; groups don't hear each
  ///   other
  void Play(
      int vms, double per_second,
      const std::function<int(int)>& group_of = [](int) { return 0; }) {
    sent_.clear();
    std::vector<SharedRate> rates(static_cast<std::size_t>(vms));
    std::vector<int> ranks(static_cast<std::size_t>(vms));
    std::iota(ranks.begin(), ranks.end(), 0);
    std::shuffle(ranks.begin(), ranks.end(), random_);
    for (std::size_t i = 0; i < rates.size(); ++i) {
      VmShare share;
      share.takes_part = true;
      share.heard = 0;
      share.registered = share.overall = vms;
      share.overall_rank = ranks[i];
      for (std::size_t j = 0; j < rates.size(); ++j) {
        if (group_of(static_cast<int>(j)) == group_of(static_cast<int>(i))) {
          ++share.heard;
          share.rank += ranks[j] < ranks[i] ? 1 : 0;
        }
      }
      rates[i].SetShare(share, start_);
      rates[i].SetTotal(per_second, start_);
    }
    for (Time now = start_; now < start_ + kPlayed; now += kStep) {
      for (SharedRate& rate : rates) {
        const bool has_request =
            !requests_per_second_.has_value() ||
            std::bernoulli_distribution(*requests_per_second_ *
                                        ToSeconds(kStep))(random_);
        if (has_request && now >= rate.OpensAt()) {
          rate.OnSent(now);
          sent_.push_back(now);
        }
      }
    }
  }

  /// Requests that were sent while the links were stalled arrive together.
  void StallLinks(Duration time) {
    const Time from = start_ + std::chrono::seconds(20);
    for (Time& sent : sent_) {
      if (sent >= from && sent < from + time) {
        sent = from + time;
      }
    }
    std::sort(sent_.begin(), sent_.end());
  }

  int MostInWindow() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < sent_.size(); ++i) {
      while (sent_[i] - sent_[first] >= kWindow) {
        ++first;
      }
      most = std::max(most, i - first + 1);
    }
    return static_cast<int>(most);
  }

  static int Allowed(double per_second) {
    return static_cast<int>(kRateFactor * per_second * ToSeconds(kWindow) +
                            1e-9) +
           kExtraRequests;
  }

  double PerSecond() const {
    return static_cast<double>(sent_.size()) / ToSeconds(kPlayed);
  }

  const Time start_ = Time() + std::chrono::seconds(100);
  std::mt19937 random_{1};
  /// Of each VM; nullopt: there is always one.
  std::optional<double> requests_per_second_;
  std::vector<Time> sent_;
};

TEST_F(SharedRateTest, VmsThatHearEachOtherUseRateAndStayWithinIt) {
  for (const int vms : {1, 3, 22, 295, 410}) {
    for (const double per_second : {0.4, 1.0, 1.5, 2.4, 15.0, 20.0, 120.0}) {
      Play(vms, per_second);
      EXPECT_LE(MostInWindow(), Allowed(per_second))
          << vms << " " << per_second;
      EXPECT_GT(PerSecond(), 0.85 * per_second) << vms << " " << per_second;
      EXPECT_LE(PerSecond(), 1.02 * per_second + 0.05);
    }
  }
}

TEST_F(SharedRateTest, GroupsThatDoNotHearEachOtherStayWithinRateTogether) {
  for (const int vms : {3, 22, 295, 410}) {
    for (const double per_second : {0.4, 1.5, 2.4, 15.0, 20.0}) {
      const auto halves = [](int vm) { return vm % 2; };
      Play(vms, per_second, halves);
      EXPECT_LE(MostInWindow(), Allowed(per_second))
          << vms << " " << per_second;
      EXPECT_GT(PerSecond(), 0.8 * per_second) << vms << " " << per_second;
      // One VM alone, and three groups.
      Play(vms, per_second, [](int vm) { return vm == 0 ? 1 : 0; });
      EXPECT_LE(MostInWindow(), Allowed(per_second))
          << vms << " " << per_second;
      Play(vms, per_second, [](int vm) { return vm % 3; });
      EXPECT_LE(MostInWindow(), Allowed(per_second))
          << vms << " " << per_second;
    }
  }
}

// VMs with a turn have no request for it at times.
TEST_F(SharedRateTest, VmsWithTwoRequestsASecondUseMostOfRate) {
  requests_per_second_ = 2;
  for (const double per_second : {0.4, 1.5, 2.4, 15.0}) {
    Play(22, per_second);
    EXPECT_LE(MostInWindow(), Allowed(per_second)) << per_second;
    EXPECT_GT(PerSecond(), 0.6 * per_second) << per_second;
  }
}

TEST_F(SharedRateTest, VmsThatAreAllAloneStayWithinRateTogether) {
  for (const int vms : {3, 22, 295, 410}) {
    for (const double per_second : {0.4, 1.5, 2.4, 15.0, 20.0}) {
      Play(vms, per_second, [](int vm) { return vm; });
      EXPECT_LE(MostInWindow(), Allowed(per_second))
          << vms << " " << per_second;
    }
  }
}

TEST_F(SharedRateTest, StallOfLinksForASecondStaysWithinLimit) {
  for (const int vms : {1, 3, 22, 295}) {
    for (const double per_second : {0.4, 1.5, 2.4, 15.0, 20.0}) {
      Play(vms, per_second);
      StallLinks(milliseconds(1'000));
      EXPECT_LE(MostInWindow(), Allowed(per_second))
          << vms << " " << per_second;
    }
  }
}

// A VM that takes another one for ended holds a turn beside it.
TEST_F(SharedRateTest, VmMoreThanTurnsIsWithinLimit) {
  for (const double per_second : {0.0, 0.4, 1.0, 1.5, 2.4, 15.0}) {
    const double rate = std::max(per_second, SharedRate::kMinPerSecond);
    const int turns = std::max(1, static_cast<int>(std::ceil(rate)));
    std::vector<SharedRate> rates(static_cast<std::size_t>(turns) + 1);
    sent_.clear();
    for (SharedRate& it : rates) {
      VmShare share;
      share.takes_part = true;
      share.heard = share.registered = share.overall = 22;
      share.rank =
          std::min<int>(static_cast<int>(&it - rates.data()), turns - 1);
      it.SetShare(share, start_);
      it.SetTotal(per_second, start_);
    }
    for (Time now = start_; now < start_ + kPlayed; now += kStep) {
      for (SharedRate& it : rates) {
        if (now >= it.OpensAt()) {
          it.OnSent(now);
          sent_.push_back(now);
        }
      }
    }
    EXPECT_LE(MostInWindow(), Allowed(per_second)) << per_second;
  }
}

TEST_F(SharedRateTest, VmThatGainsTurnBeginsWithoutSavedRequests) {
  SharedRate rate;
  VmShare share;
  share.takes_part = true;
  share.rank = 5;
  share.heard = share.registered = share.overall = 22;
  rate.SetShare(share, start_);
  rate.SetTotal(2, start_);
  EXPECT_EQ(rate.OpensAt(), Time::max());
  EXPECT_EQ(rate.PerSecond(), 0);
  const Time later = start_ + std::chrono::seconds(60);
  share.rank = 1;
  rate.SetShare(share, later);
  EXPECT_EQ(rate.PerSecond(), 1);
  EXPECT_EQ(rate.OpensAt(), later + std::chrono::seconds(1));
}

TEST_F(SharedRateTest, FallingRateHoldsBackTheNextRequest) {
  SharedRate rate;
  VmShare share;
  share.takes_part = true;
  rate.SetShare(share, start_);
  rate.SetTotal(10, start_);
  Time now = rate.OpensAt();
  rate.OnSent(now);
  rate.SetTotal(1, now);
  EXPECT_GE(rate.OpensAt() - now, milliseconds(500));
  rate.SetTotal(100, now);
  EXPECT_LE(rate.OpensAt() - now, milliseconds(20));
}

TEST_F(SharedRateTest, PartsOfAllVmsSumUpToNoMoreThanTheTotal) {
  for (const int vms : {1, 3, 22, 60, 295, 410, 4'100}) {
    for (const double total : {0.0, 1.0, 50.0, 56.0, 630.0}) {
      double sum = 0;
      VmShare share;
      share.overall = vms;
      for (int i = 0; i < vms; ++i) {
        share.overall_rank = i;
        const double part = WholePartOf(total, 2, share);
        sum += part;
        // A part below one would never allow a request.
        EXPECT_TRUE(part == 0 || part >= 1);
      }
      EXPECT_LE(sum, total + 1e-6) << vms << " " << total;
      EXPECT_GE(sum, total - 1) << vms << " " << total;
    }
  }
}

TEST_F(SharedRateTest, HugeRateIsNoLimit) {
  SharedRate rate;
  VmShare share;
  share.takes_part = true;
  rate.SetShare(share, start_);
  rate.SetTotal(1e9, start_);
  for (int i = 0; i < 1'000; ++i) {
    EXPECT_LE(rate.OpensAt(), start_ + milliseconds(1));
    rate.OnSent(start_);
  }
}

}  // namespace
}  // namespace hornbeamcleat
