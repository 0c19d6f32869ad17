#include "src/schedule/fair_queue.h"

#include <algorithm>

namespace hornbeamcleat {

void FairQueue::Push(RequestState* request) {
  Flow* flow = Activate(*request);
  request->place = flow->waiting.insert(flow->waiting.end(), request);
  ++size_;
}

void FairQueue::PushFront(RequestState* request) {
  Flow* flow = Activate(*request);
  request->place = flow->waiting.insert(flow->waiting.begin(), request);
  ++size_;
}

FairQueue::Flow* FairQueue::Activate(const RequestState& request) {
  const std::uint64_t workspace = Key(request);
  Flow& flow = flows_[workspace];
  if (flow.waiting.empty()) {
    idle_.erase({flow.start, workspace});
    flow.start = std::max(flow.start, virtual_time_);
    active_.emplace(flow.start, workspace);
  }
  return &flow;
}

RequestState* FairQueue::Head() const {
  if (active_.empty()) {
    return nullptr;
  }
  return flows_.at(active_.begin()->second).waiting.front();
}

void FairQueue::PopHead() {
  const auto it = flows_.find(active_.begin()->second);
  Flow& flow = it->second;
  const RequestState* request = flow.waiting.front();
  active_.erase(active_.begin());
  virtual_time_ = std::max(virtual_time_, flow.start);
  flow.start += request->cost / request->route->weight;
  flow.waiting.pop_front();
  --size_;
  if (flow.waiting.empty()) {
    Deactivate(it);
  } else {
    active_.emplace(flow.start, it->first);
  }
}

void FairQueue::Remove(RequestState* request) {
  const auto it = flows_.find(Key(*request));
  it->second.waiting.erase(request->place);
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
  return flows_.at(active_.rbegin()->second).waiting.back();
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
  DropIdle();
}

void FairQueue::DropIdle() {
  while (!idle_.empty() && idle_.begin()->first <= virtual_time_) {
    flows_.erase(idle_.begin()->second);
    idle_.erase(idle_.begin());
  }
}

}  // namespace hornbeamcleat
