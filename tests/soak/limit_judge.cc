#include "tests/soak/limit_judge.h"

#include <algorithm>
#include <utility>

namespace hornbeamcleat {
namespace {

/// From this time after a target first stated a limit, it may get kFactor times
/// that rate over any window, and kExtraRequests more, from the VMs that knew
/// for kKnownAfter.
constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr Duration kKnownAfter = std::chrono::milliseconds(500);
constexpr double kFactor = 1.5;
constexpr int kExtraRequests = 5;

}  // namespace

void LimitJudge::SetLimit(std::optional<double> per_second, Time now) {
  if (!limit_.has_value() && per_second.has_value()) {
    first_stated_at_ = now;
    told_.clear();
    requests_.clear();
    highest_ = 0;
  }
  // Requests under a higher limit stay in the window for a while.
  if (now >= highest_until_) {
    highest_ = 0;
  }
  if (limit_.value_or(0) >= highest_) {
    highest_ = limit_.value_or(0);
    highest_until_ = now + kWindow + kKnownAfter;
  }
  limit_ = per_second;
}

void LimitJudge::OnTold(int vm, Time at) { told_.try_emplace(vm, at); }

bool LimitJudge::OnRequest(int vm, Time vm_disturbed, Time link_disturbed,
                           Time now) {
  if (!limit_.has_value()) {
    return false;
  }
  if (now - link_disturbed < kWindow) {
    requests_.clear();
    return false;
  }
  const auto it = told_.find(vm);
  if (it != told_.end() && it->second <= vm_disturbed) {
    told_.erase(it);
    return false;
  }
  if (it == told_.end() || now < it->second + kKnownAfter ||
      now < first_stated_at_ + kSettleTime) {
    return false;
  }
  requests_.push_back(now);
  while (now - requests_.front() >= kWindow) {
    requests_.pop_front();
  }
  const double limit =
      now < highest_until_ ? std::max(highest_, *limit_) : *limit_;
  const double allowed = kFactor * limit * ToSeconds(kWindow) + kExtraRequests;
  return static_cast<double>(requests_.size()) > allowed + 1e-6 &&
         !std::exchange(is_broken_, true);
}

}  // namespace hornbeamcleat
