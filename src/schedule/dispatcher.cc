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
/// Credits reserved for higher tiers, as a share of the credits that their
/// demand uses, and at most as a share of all credits.
constexpr double kReservedShareOfDemand = 0.15;
constexpr double kMaxReservedShare = 0.1;
/// Maximum number of requests that one pass skips.
constexpr std::size_t kMaxSkipped = 8;

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
    prefixes_.RemoveTarget(gone);
  }
  versions_.SetView(view);
  view_ = view;
  for (const auto& [model, pool] : targets_.Pools()) {
    for (TargetState* target : pool) {
      versions_.SetMoveFlags(target);
    }
  }
  ranks_.clear();
  if (view->config != nullptr) {
    ranks_ = RanksOf(*view->config);
  }
  for (auto& [name, model] : models_) {
    ApplyView(&model);
    RequeueChangedVersions(&model);
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
  ApplyView(&model);
  return &model;
}

void Dispatcher::ApplyView(ModelState* model) const {
  model->floor.SetRanks(ranks_);
  model->pool = targets_.Summarize(model->name);
  if (view_ != nullptr) {
    const auto peer_closed = view_->peer_closed_rank.find(model->name);
    model->floor.SetPeerClosed(peer_closed == view_->peer_closed_rank.end()
                                   ? kNoFloor
                                   : peer_closed->second);
  }
}

void Dispatcher::ChooseVersion(RequestState* request) const {
  request->prefers_new_version =
      versions_.PrefersNewVersion(request->route->model, request->spec.id);
}

void Dispatcher::Push(RequestState* request) {
  request->phase = Phase::kQueued;
  request->queued = true;
  ChooseVersion(request);
  request->model->lanes[request->prefers_new_version ? 1 : 0].Push(request);
  ++queued_;
}

void Dispatcher::Remove(RequestState* request) {
  request->model->lanes[request->prefers_new_version ? 1 : 0].Remove(request);
  request->queued = false;
  --queued_;
}

RequestState* Dispatcher::FindDisplaceable(const ModelState& model, int rank) {
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
  MinRanks min_ranks;
  min_ranks.fill(std::numeric_limits<int>::min());
  std::vector<RequestState*> skipped;
  std::size_t lane = chooser_.AnyAvailable(*model, now)
                         ? BestLane(*model, min_ranks)
                         : kNoLane;
  while (lane != kNoLane) {
    RequestState* request = model->lanes[lane].Head(min_ranks[lane]);
    if (IsReservedForHigherTiers(*request, now)) {
      break;
    }
    TargetState* target = chooser_.Choose(*request, *model, now);
    if (target == nullptr && skipped.size() < kMaxSkipped) {
      // A later request may fit a target that this one cannot use.
      model->lanes[lane].Remove(request);
      skipped.push_back(request);
    } else if (target == nullptr) {
      min_ranks[lane] = request->route->rank + 1;
    } else {
      model->lanes[lane].Pop(request);
      request->queued = false;
      --queued_;
      Start(request, target, now, actions);
      if (!chooser_.AnyAvailable(*model, now)) {
        break;
      }
    }
    lane = BestLane(*model, min_ranks);
  }
  for (RequestState* request : skipped) {
    model->lanes[request->prefers_new_version ? 1 : 0].Push(request);
  }
}

bool Dispatcher::IsReservedForHigherTiers(const RequestState& request,
                                          Time now) const {
  const ModelState& model = *request.model;
  if (options_.policy != SchedulePolicy::kFull) {
    return false;
  }
  const double higher = model.offered.RateBelow(request.route->rank, now);
  const double reserved = std::min(kReservedShareOfDemand * higher,
                                   kMaxReservedShare * model.pool.credits);
  return model.in_flight + reserved >= model.pool.credits;
}

void Dispatcher::DispatchAll(Time now, Actions* actions) {
  for (auto& [name, model] : models_) {
    Dispatch(&model, now, actions);
  }
}

void Dispatcher::Send(RequestState* request, Time now, Actions* actions) {
  request->phase = Phase::kDispatched;
  request->dispatched_at = now;
  request->last_progress = now;
  TargetState& target = *request->target;
  if (options_.policy == SchedulePolicy::kFull) {
    prefixes_.OnDispatch(&target, request->spec.prefix_blocks);
  }
  actions->emplace_back(DispatchAction{request->spec.id, target.name,
                                       target.spec.address, target.spec.version,
                                       request->deadline - now});
}

void Dispatcher::ReleaseCredit(RequestState* request) {
  TargetState* target = request->target;
  if (target == nullptr) {
    return;
  }
  --target->in_flight;
  --request->model->in_flight;
  target->suspects_in_flight -= request->suspect ? 1 : 0;
  request->model->in_flight_on_new_version -= request->on_new_version ? 1 : 0;
  request->on_new_version = false;
  request->target = nullptr;
}

std::size_t Dispatcher::BestLane(const ModelState& model,
                                 const MinRanks& min_ranks) {
  std::size_t best = kNoLane;
  int best_rank = 0;
  for (std::size_t i = 0; i < model.lanes.size(); ++i) {
    const RequestState* head = model.lanes[i].Head(min_ranks[i]);
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
  request->on_new_version = target->runs_new_version;
  ++target->in_flight;
  ++request->model->in_flight;
  target->suspects_in_flight += request->suspect ? 1 : 0;
  request->model->in_flight_on_new_version += request->on_new_version ? 1 : 0;
  if (!request->route->idempotent && !request->intent_held) {
    request->phase = Phase::kRecordingIntent;
    actions->emplace_back(RecordIntentAction{
        request->spec.id,
        ScopedKey(request->spec.idempotency_key, request->spec.workspace,
                  request->spec.application)});
    return;
  }
  Send(request, now, actions);
}

void Dispatcher::RequeueChangedVersions(ModelState* model) {
  std::vector<RequestState*> moved;
  for (TierQueue& lane : model->lanes) {
    for (RequestState* request : lane.All()) {
      const bool before = request->prefers_new_version;
      if (versions_.PrefersNewVersion(model->name, request->spec.id) !=
          before) {
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
