#include "src/schedule/tier_queue.h"

namespace hornbeamcleat {

int TierQueue::Key(const RequestState& request) const {
  return tiers_ ? request.route->rank : 0;
}

void TierQueue::Push(RequestState* request) {
  Added(request)->queue.Push(request);
}

void TierQueue::PushFront(RequestState* request) {
  Added(request)->queue.PushFront(request);
}

TierQueue::Tier* TierQueue::Added(RequestState* request) {
  Tier& tier = by_rank_.try_emplace(Key(*request), tiers_).first->second;
  tier.seconds += request->cost;
  ++size_;
  return &tier;
}

void TierQueue::Remove(RequestState* request) {
  const auto it = by_rank_.find(Key(*request));
  it->second.queue.Remove(request);
  Took(it, request->cost);
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
  const auto it = by_rank_.find(Key(*head));
  it->second.queue.PopHead();
  Took(it, head->cost);
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

double TierQueue::SecondsAhead(int rank) const {
  double seconds = 0;
  for (const auto& [key, tier] : by_rank_) {
    if (!tiers_ || key <= rank) {
      seconds += tier.seconds;
    }
  }
  return seconds;
}

void TierQueue::Took(Tiers::iterator it, double cost) {
  --size_;
  it->second.seconds -= cost;
  if (it->second.queue.Size() == 0) {
    it->second.seconds = 0;
  }
}

}  // namespace hornbeamcleat
