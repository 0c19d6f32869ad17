#include "src/schedule/tier_queue.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hornbeamcleat {

int TierQueue::Key(const RequestState& request) const {
  return tiers_ ? request.route->rank : 0;
}

void TierQueue::Push(RequestState* request) {
  Tier& tier = by_rank_.try_emplace(Key(*request), tiers_).first->second;
  tier.queue.Push(request);
  tier.seconds[UrgencyBucket(*request)] += request->cost;
  ++size_;
}

void TierQueue::Remove(RequestState* request) {
  Tier& tier = by_rank_.at(Key(*request));
  tier.queue.Remove(request);
  SubtractCost(&tier, *request);
  --size_;
}

RequestState* TierQueue::Head(int least_rank) const {
  for (const auto& [rank, tier] : by_rank_) {
    if (tier.queue.Size() > 0 && rank >= least_rank) {
      return tier.queue.Head();
    }
  }
  return nullptr;
}

void TierQueue::Pop(RequestState* head) {
  Tier& tier = by_rank_.at(Key(*head));
  tier.queue.PopHead();
  SubtractCost(&tier, *head);
  --size_;
}

RequestState* TierQueue::Last() const {
  for (auto it = by_rank_.rbegin(); it != by_rank_.rend(); ++it) {
    if (it->second.queue.Size() > 0) {
      return it->second.queue.Last();
    }
  }
  return nullptr;
}

std::vector<RequestState*> TierQueue::All() const {
  std::vector<RequestState*> all;
  all.reserve(size_);
  for (const auto& [rank, tier] : by_rank_) {
    tier.queue.AppendAll(&all);
  }
  return all;
}

double TierQueue::SecondsAhead(const RequestState& request) const {
  double seconds = 0;
  for (const auto& [rank, tier] : by_rank_) {
    if (rank > Key(request)) {
      break;
    }
    const std::size_t last =
        rank < Key(request) ? kUrgencyBuckets - 1 : UrgencyBucket(request);
    seconds += std::accumulate(tier.seconds.begin(),
                               tier.seconds.begin() + last + 1, 0.0);
  }
  return seconds;
}

std::size_t TierQueue::UrgencyBucket(const RequestState& request) {
  const double seconds = std::max(1.0, ToSeconds(request.time_budget));
  return std::min(kUrgencyBuckets - 1,
                  static_cast<std::size_t>(std::log2(seconds)));
}

void TierQueue::SubtractCost(Tier* tier, const RequestState& request) {
  double& seconds = tier->seconds[UrgencyBucket(request)];
  seconds = tier->queue.Size() == 0 ? 0 : std::max(0.0, seconds - request.cost);
}

}  // namespace hornbeamcleat
