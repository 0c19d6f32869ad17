#include "src/schedule/dispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>
#include <vector>

#include "hornbeamcleat/agree/key_date.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kNoLane = 2;
/// Credits kept free for higher tiers, as a part of what their demand uses and
/// at most as a part of all.
constexpr double kKeptOfDemand = 0.15;
constexpr double kMaxKept = 0.1;
/// Waiting requests that one pass looks behind.
constexpr std::size_t kMaxPassedOver = 8;

std::set<int> RanksOf(const ConfigState& config) {
  std::set<int> ranks;
  const ResourceKey first("Tier", "");
  for (auto it = config.resources.lower_bound(first);
       it != config.resources.end() && it->first.first == "Tier"; ++it) {
    if (const TierSpec* tier = std::get_if<TierSpec>(&it->second.spec)) {
      ranks.insert(tier->rank);
    }
  }
  return ranks;
}

}  // namespace

Dispatcher::Dispatcher(const SchedulerOptions& options)
    : options_(options),
      targets_(options),
      chooser_(options, &targets_, &versions_, &prefixes_) {}

void Dispatcher::SetView(const std::shared_ptr<const ClusterView>& view) {
  for (const TargetState* gone : targets_.SetView(*view)) {
    prefixes_.Drop(gone);
  }
  versions_.SetView(view);
  view_ = view;
  for (const auto& [model, pool] : targets_.Pools()) {
    for (TargetState* target : pool) {
      versions_.Mark(target);
    }
  }
  ranks_.clear();
  if (view->config != nullptr) {
    ranks_ = RanksOf(*view->config);
  }
  for (auto& [name, model] : models_) {
    TakeView(&model);
    Rearrange(&model);
  }
}

void Dispatcher::Tick(Time now) {
  for (auto& [name, model] : models_) {
    model.pool = targets_.Summarize(name);
    model.floor.Tick(now);
  }
}

ModelState* Dispatcher::Model(const std::string& name) {
  const auto known = models_.find(name);
  if (known != models_.end()) {
    return &known->second;
  }
  const bool tiers = options_.policy == SchedulePolicy::kFull;
  ModelState& model = models_
                          .try_emplace(name, name, tiers, options_.floor_settle,
                                       options_.floor_hold)
                          .first->second;
  TakeView(&model);
  return &model;
}

void Dispatcher::TakeView(ModelState* model) const {
  model->floor.SetRanks(ranks_);
  model->pool = targets_.Summarize(model->name);
  if (view_ != nullptr) {
    const auto closed = view_->peer_closed_rank.find(model->name);
    model->floor.SetPeerClosed(
        closed == view_->peer_closed_rank.end() ? kNoFloor : closed->second);
  }
}

void Dispatcher::ChooseVersion(RequestState* request) const {
  request->prefers_new =
      versions_.PrefersNew(request->route->model, request->spec.id);
}

void Dispatcher::Push(RequestState* request) {
  request->phase = Phase::kQueued;
  request->queued = true;
  ChooseVersion(request);
  request->model->lanes[request->prefers_new ? 1 : 0].Push(request);
  ++queued_;
}

void Dispatcher::Remove(RequestState* request) {
  request->model->lanes[request->prefers_new ? 1 : 0].Remove(request);
  request->queued = false;
  --queued_;
}

RequestState* Dispatcher::Displaceable(const ModelState& model, int rank) {
  RequestState* found = nullptr;
  for (const TierQueue& lane : model.lanes) {
    RequestState* last = lane.Last();
    if (last != nullptr && last->route->rank > rank &&
        (found == nullptr || last->route->rank > found->route->rank)) {
      found = last;
    }
  }
  return found;
}

void Dispatcher::Dispatch(ModelState* model, Time now, Actions* actions) {
  LeastRanks least_ranks;
  least_ranks.fill(std::numeric_limits<int>::min());
  std::vector<RequestState*> passed_over;
  std::size_t lane =
      chooser_.AnyFree(*model, now) ? BestLane(*model, least_ranks) : kNoLane;
  while (lane != kNoLane) {
    RequestState* request = model->lanes[lane].Head(least_ranks[lane]);
    if (KeptForHigher(*request, now)) {
      break;
    }
    TargetState* target = chooser_.Choose(*request, *model, now);
    if (target == nullptr && passed_over.size() < kMaxPassedOver) {
      // Work behind it may still fit a target that this can't use.
      model->lanes[lane].Remove(request);
      passed_over.push_back(request);
    } else if (target == nullptr) {
      least_ranks[lane] = request->route->rank + 1;
    } else {
      model->lanes[lane].Pop(request);
      request->queued = false;
      --queued_;
      Start(request, target, now, actions);
      if (!chooser_.AnyFree(*model, now)) {
        break;
      }
    }
    lane = BestLane(*model, least_ranks);
  }
  for (RequestState* request : passed_over) {
    model->lanes[request->prefers_new ? 1 : 0].Push(request);
  }
}

bool Dispatcher::KeptForHigher(const RequestState& request, Time now) const {
  const ModelState& model = *request.model;
  if (options_.policy != SchedulePolicy::kFull) {
    return false;
  }
  const double higher = model.offered.RateBelow(request.route->rank, now);
  const double kept =
      std::min(kKeptOfDemand * higher, kMaxKept * model.pool.credits);
  return model.in_flight + kept >= model.pool.credits;
}

void Dispatcher::DispatchAll(Time now, Actions* actions) {
  for (auto& [name, model] : models_) {
    Dispatch(&model, now, actions);
  }
}

void Dispatcher::Send(RequestState* request, Time now, Actions* actions) {
  request->phase = Phase::kDispatched;
  request->dispatched = now;
  request->last_progress = now;
  TargetState& target = *request->target;
  if (options_.policy == SchedulePolicy::kFull) {
    prefixes_.OnDispatch(&target, request->spec.prefix_blocks);
  }
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
  --request->model->in_flight;
  target->suspects_in_flight -= request->suspect ? 1 : 0;
  request->model->in_flight_on_new -= request->on_new ? 1 : 0;
  request->on_new = false;
  request->target = nullptr;
}

std::size_t Dispatcher::BestLane(const ModelState& model,
                                 const LeastRanks& least_ranks) {
  std::size_t best = kNoLane;
  int best_rank = 0;
  for (std::size_t i = 0; i < model.lanes.size(); ++i) {
    const RequestState* head = model.lanes[i].Head(least_ranks[i]);
    if (head != nullptr && (best == kNoLane || head->route->rank < best_rank)) {
      best = i;
      best_rank = head->route->rank;
    }
  }
  return best;
}

void Dispatcher::Start(RequestState* request, TargetState* target, Time now,
                       Actions* actions) {
  request->target = target;
  request->on_new = target->on_new;
  ++target->in_flight;
  ++request->model->in_flight;
  target->suspects_in_flight += request->suspect ? 1 : 0;
  request->model->in_flight_on_new += request->on_new ? 1 : 0;
  if (!request->route->idempotent && !request->intent_held) {
    request->phase = Phase::kIntent;
    actions->emplace_back(RecordIntentAction{
        request->spec.id,
        ScopedKey(request->spec.idempotency_key, request->spec.workspace,
                  request->spec.application)});
    return;
  }
  Send(request, now, actions);
}

void Dispatcher::Rearrange(ModelState* model) {
  std::vector<RequestState*> moved;
  for (TierQueue& lane : model->lanes) {
    for (RequestState* request : lane.All()) {
      const bool before = request->prefers_new;
      if (versions_.PrefersNew(model->name, request->spec.id) != before) {
        moved.push_back(request);
      }
    }
  }
  std::sort(moved.begin(), moved.end(),
            [](const RequestState* a, const RequestState* b) {
              return a->sequence < b->sequence;
            });
  for (RequestState* request : moved) {
    Remove(request);
    Push(request);
  }
}

}  // namespace hornbeamcleat
