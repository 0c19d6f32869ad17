#include "src/schedule/fair_queue.h"

#include <algorithm>
#include <tuple>

namespace hornbeamcleat {
namespace {

/// Limit on how far, in seconds of service, a workspace that becomes active
/// again can be ahead of its share, so that one long answer does not delay its
/// short requests.
constexpr double kMaxDebtSeconds = 2;

}  // namespace

bool FairQueue::Earlier::operator()(const RequestState* a,
                                    const RequestState* b) const {
  return std::tie(a->start_goal, a->sequence) <
         std::tie(b->start_goal, b->sequence);
}

void FairQueue::Push(RequestState* request) {
  const std::uint64_t workspace = Key(*request);
  Flow& flow = flows_[workspace];
  if (flow.waiting.empty()) {
    idle_.erase({flow.start, workspace});
    flow.start =
        std::clamp(flow.start, virtual_time_, virtual_time_ + kMaxDebtSeconds);
    active_.emplace(flow.start, workspace);
  }
  flow.waiting.insert(request);
  ++size_;
}

RequestState* FairQueue::Head() const {
  if (active_.empty()) {
    return nullptr;
  }
  return *flows_.at(active_.begin()->second).waiting.begin();
}

void FairQueue::PopHead() {
  const auto it = flows_.find(active_.begin()->second);
  Flow& flow = it->second;
  const RequestState* request = *flow.waiting.begin();
  active_.erase(active_.begin());
  virtual_time_ = std::max(virtual_time_, flow.start);
  flow.start += request->cost / request->route->weight;
  flow.waiting.erase(flow.waiting.begin());
  --size_;
  if (flow.waiting.empty()) {
    Deactivate(it);
  } else {
    active_.emplace(flow.start, it->first);
  }
}

void FairQueue::Remove(RequestState* request) {
  const auto it = flows_.find(Key(*request));
  it->second.waiting.erase(request);
  --size_;
  if (it->second.waiting.empty()) {
    active_.erase({it->second.start, it->first});
    Deactivate(it);
  }
}

RequestState* FairQueue::Last() const {
  if (active_.empty()) {
    return nullptr;
  }
  return *flows_.at(active_.rbegin()->second).waiting.rbegin();
}

void FairQueue::AppendAll(std::vector<RequestState*>* all) const {
  for (const auto& [workspace, flow] : flows_) {
    all->insert(all->end(), flow.waiting.begin(), flow.waiting.end());
  }
}

std::uint64_t FairQueue::Key(const RequestState& request) const {
  return fair_ ? request.route->workspace_hash : 0;
}

void FairQueue::Deactivate(Flows::iterator it) {
  idle_.emplace(it->second.start, it->first);
  RemoveIdleFlows();
}

void FairQueue::RemoveIdleFlows() {
  while (!idle_.empty() && idle_.begin()->first <= virtual_time_) {
    flows_.erase(idle_.begin()->second);
    idle_.erase(idle_.begin());
  }
}

}  // namespace hornbeamcleat
