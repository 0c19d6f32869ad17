#include "src/schedule/dispatcher.h"

#include <algorithm>

#include "hornbeamcleat/agree/key_date.h"

namespace hornbeamcleat {

Dispatcher::Dispatcher(const SchedulerOptions& options)
    : options_(options), random_(options.seed) {}

void Dispatcher::SetView(const std::shared_ptr<const ClusterView>& view) {
  targets_.SetView(*view);
  versions_.SetView(view);
  for (auto& [model, lanes] : lanes_by_model_) {
    Rearrange(&lanes);
  }
}

bool Dispatcher::HasTarget(const RequestState& request) const {
  const TargetTable::Pool& pool = targets_.OfModel(request.route.model);
  return std::any_of(pool.begin(), pool.end(), [&](const TargetState* target) {
    return target->Open() && versions_.Allows(*target, request.prefers_new);
  });
}

void Dispatcher::Push(RequestState* request) {
  request->phase = Phase::kQueued;
  request->queued = true;
  request->prefers_new =
      versions_.PrefersNew(request->route.model, request->spec.id);
  lanes_by_model_[request->route.model][request->prefers_new ? 1 : 0].Push(
      request);
  ++queued_;
}

void Dispatcher::Remove(RequestState* request) {
  lanes_by_model_.at(request->route.model)[request->prefers_new ? 1 : 0].Remove(
      request);
  request->queued = false;
  --queued_;
}

RequestState* Dispatcher::Displaceable(const std::string& model,
                                       int rank) const {
  const auto it = lanes_by_model_.find(model);
  if (it == lanes_by_model_.end()) {
    return nullptr;
  }
  RequestState* found = nullptr;
  for (const TierQueue& lane : it->second) {
    RequestState* last = lane.Last();
    if (last != nullptr && last->route.rank > rank &&
        (found == nullptr || last->route.rank > found->route.rank)) {
      found = last;
    }
  }
  return found;
}

void Dispatcher::Dispatch(const std::string& model, Time now,
                          Actions* actions) {
  const auto it = lanes_by_model_.find(model);
  if (it == lanes_by_model_.end()) {
    return;
  }
  std::array<bool, 2> blocked = {false, false};
  TierQueue* lane = BestLane(&it->second, blocked);
  while (lane != nullptr) {
    RequestState* request = lane->Head();
    TargetState* target = PickTarget(*request, now);
    if (target == nullptr) {
      blocked[static_cast<std::size_t>(lane - it->second.data())] = true;
    } else {
      lane->PopHead();
      request->queued = false;
      --queued_;
      Start(request, target, now, actions);
    }
    lane = BestLane(&it->second, blocked);
  }
}

void Dispatcher::DispatchAll(Time now, Actions* actions) {
  for (const auto& [model, lanes] : lanes_by_model_) {
    Dispatch(model, now, actions);
  }
}

void Dispatcher::Send(RequestState* request, Time now, Actions* actions) {
  request->phase = Phase::kDispatched;
  request->dispatched = now;
  request->last_progress = now;
  const TargetState& target = *request->target;
  actions->emplace_back(DispatchAction{request->spec.id, target.name,
                                       target.spec.address, target.spec.version,
                                       request->deadline - now});
}

void Dispatcher::Release(RequestState* request) {
  TargetState* target = request->target;
  if (target == nullptr) {
    return;
  }
  --target->in_flight;
  if (versions_.IsNew(*target)) {
    --in_flight_on_new_[target->spec.model];
  }
  request->target = nullptr;
}

TierQueue* Dispatcher::BestLane(Lanes* lanes,
                                const std::array<bool, 2>& blocked) const {
  TierQueue* best = nullptr;
  for (std::size_t i = 0; i < lanes->size(); ++i) {
    TierQueue& lane = (*lanes)[i];
    if (blocked[i] || lane.Size() == 0) {
      continue;
    }
    if (best == nullptr || lane.Head()->route.rank < best->Head()->route.rank) {
      best = &lane;
    }
  }
  return best;
}

TargetState* Dispatcher::PickTarget(const RequestState& request, Time now) {
  const bool new_full = NewVersionFull(request.route.model);
  TargetState* best = nullptr;
  double best_load = 0;
  for (TargetState* target : targets_.OfModel(request.route.model)) {
    const bool is_new = versions_.IsNew(*target);
    if (!target->Open() || target->paused_until > now ||
        target->in_flight >= target->credits ||
        !versions_.Allows(*target, request.prefers_new) ||
        (is_new && new_full)) {
      continue;
    }
    // The version that the share chose goes first.
    const double load =
        static_cast<double>(target->in_flight) / target->credits +
        (request.prefers_new && !is_new ? 1 : 0);
    if (best == nullptr || load < best_load) {
      best = target;
      best_load = load;
    }
  }
  return best;
}

bool Dispatcher::NewVersionFull(const std::string& model) const {
  const int cap = versions_.MaxInFlightOnNew(model);
  const auto it = in_flight_on_new_.find(model);
  return cap > 0 && it != in_flight_on_new_.end() && it->second >= cap;
}

void Dispatcher::Start(RequestState* request, TargetState* target, Time now,
                       Actions* actions) {
  request->target = target;
  ++target->in_flight;
  if (versions_.IsNew(*target)) {
    ++in_flight_on_new_[target->spec.model];
  }
  if (!request->route.idempotent && !request->intent_held) {
    request->phase = Phase::kIntent;
    actions->emplace_back(
        RecordIntentAction{
        request->spec.id,
        ScopedKey(request->spec.idempotency_key, request->spec.workspace,
                  request->spec.application)});
    return;
  }
  Send(request, now, actions);
}

void Dispatcher::Rearrange(Lanes* lanes) {
  std::vector<RequestState*> waiting;
  for (TierQueue& lane : *lanes) {
    while (RequestState* head = lane.Head()) {
      lane.Remove(head);
      waiting.push_back(head);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const RequestState* a, const RequestState* b) {
              return a->sequence < b->sequence;
            });
  queued_ -= static_cast<int>(waiting.size());
  for (RequestState* request : waiting) {
    Push(request);
  }
}

}  // namespace hornbeamcleat
