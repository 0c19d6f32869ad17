#include "src/serving/wait_queue.h"

#include <algorithm>
#include <tuple>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Requests of one queue reported to peers. Slots are freed one at a time, so
/// more would make no difference.
constexpr std::size_t kMaxReportedRequests = 12;
/// Most time reserved for the first event, as a multiple of the estimate. More
/// would leave short objectives no time to wait.
constexpr double kMaxFirstEventReserve = 3;
/// Quantile of the time to the first event that is reserved, and the relative
/// step of its estimate for one answer.
constexpr double kReserveQuantile = 0.9;
constexpr double kReserveGain = 0.02;
/// Fraction of its maximum wait after which a request accepts a target that
/// exceeds the maximum pause of streams.
constexpr double kPauseWaitShare = 0.8;
/// Fraction of its objective that a request may always wait.
constexpr double kMinWaitShare = 0.2;
/// Fraction of its objective within which a refusal comes early enough not to
/// cost its caller any time.
constexpr double kPromptRefusalShare = 0.125;
/// Weight of a new sample in the moving average of slot occupancy times.
constexpr double kHoldTimeGain = 0.05;
/// Assumed slot occupancy time before the first sample.
constexpr double kInitialHoldTimeMs = 500;
/// Bounds of the Retry-After value.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
/// Callers that come back after a rest are spread over this time.
constexpr Duration kReturnSpread = std::chrono::seconds(2);
/// Callers whose targets are all in evacuated failure domains or outside of the
/// allowed regions are told to come back after this time, spread over
/// kReturnSpread. Operators end an evacuation at no known time.
constexpr Duration kClosedRetryAfter = std::chrono::seconds(3);
/// Other targets may have come after this time, however long a rest is.
constexpr Duration kMaxRestRetryAfter = std::chrono::seconds(60);
/// Callers that limits turn away are told to come back by this time, at which
/// answers may state no limit any more.
constexpr Duration kMaxLimitRetryAfter = std::chrono::seconds(20);

WaitingRank RankOf(const WaitingRequest& request, Time now) {
  WaitingRank rank;
  rank.rank = request.rank;
  rank.route_rank = request.route_rank;
  rank.slack_ms = static_cast<std::int32_t>((request.latest_start - now) /
                                            std::chrono::milliseconds(1));
  return rank;
}

// Requests that can still meet their objective precede those of the same
// workspace rank that cannot: a late answer is worth less to its caller than
// the answer in time that it would displace.
std::tuple<int, bool, int, int> SortKey(const WaitingRank& rank) {
  return {rank.rank, rank.slack_ms < 0, rank.route_rank, rank.slack_ms};
}

// Whether the caller retries after its objective has passed.
bool IsLateRetry(const WaitingRequest& request) {
  return request.objective_deadline <= request.arrival;
}

Duration Scale(Duration d, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(d.count()) * factor));
}

Time LatestStart(const WaitingRequest& request, Duration reserve) {
  if (IsLateRetry(request)) {
    return request.objective_deadline;
  }
  const Duration objective = request.objective_deadline - request.arrival;
  const Time latest = request.objective_deadline - reserve;
  const Time earliest = request.arrival + Scale(objective, kMinWaitShare);
  return std::min(std::max(latest, earliest), request.deadline);
}

RetrySchedule::Priority PriorityOf(const WaitingRequest& request) {
  return {request.rank, request.route_rank};
}

bool AllowsLongPauses(const WaitingRequest& request, Time now) {
  return now - request.arrival >
         Scale(request.latest_start - request.arrival, kPauseWaitShare);
}

bool MayRefusePromptly(const WaitingRequest& request, Time now) {
  const Duration objective = request.objective_deadline - request.arrival;
  return now - request.arrival <= Scale(objective, kPromptRefusalShare);
}

// Key under which VMs report queues to each other. Requests that are restricted
// to some regions wait beside the others, for fewer targets.
std::uint32_t QueueHash(const std::string& service,
                        const AllowedRegions& allowed_regions) {
  if (!allowed_regions.has_value()) {
    return Hash32(service);
  }
  std::string key = service;
  for (const std::string& region : *allowed_regions) {
    key += '\n' + region;
  }
  return Hash32(key);
}

Duration RetryAfterRest(Duration left, std::uint32_t seed) {
  constexpr double kSeeds = 4'294'967'296;
  return std::min(left, kMaxRestRetryAfter) +
         Scale(kReturnSpread, seed / kSeeds);
}

}  // namespace

void WaitQueue::Add(const WaitingRequest& request) {
  WaitingRequest waiting = request;
  Queue& local_queue = queues_[request.need.service];
  // A stream with an earlier latest start accepts long pauses sooner.
  const double reserve = request.need.max_pause > Duration(0)
                             ? kMinFirstEventReserve
                             : local_queue.first_event_reserve;
  waiting.latest_start = LatestStart(
      request, Scale(balancer_->TypicalLatency(request.need), reserve));
  local_queue.retries.OnArrival(PriorityOf(request), request.arrival);
  local_queue.requests.push_back(waiting);
  ++changes_;
}

void WaitQueue::Remove(std::uint64_t id) {
  for (auto& [service, local_queue] : queues_) {
    changes_ += std::erase_if(
        local_queue.requests,
        [id](const WaitingRequest& request) { return request.id == id; });
  }
}

void WaitQueue::SetPeerQueues(const std::string& peer,
                              const std::vector<ServiceQueue>& queues,
                              Time now) {
  if (queues.empty()) {
    peers_.erase(peer);
  } else {
    peers_[peer] = PeerQueues{queues, now};
  }
}

void WaitQueue::OnSlotReleased(const std::string& service, Duration hold_time) {
  Queue& local_queue = queues_[service];
  const double ms = static_cast<double>(hold_time.count()) / 1'000.0;
  local_queue.hold_time_ms =
      local_queue.hold_time_ms == 0
          ? ms
          : local_queue.hold_time_ms +
                kHoldTimeGain * (ms - local_queue.hold_time_ms);
}

// Stochastic approximation of the quantile.
void WaitQueue::OnFirstEvent(const std::string& service, Duration after,
                             Duration expected) {
  if (expected <= Duration(0)) {
    return;
  }
  double& reserve = queues_[service].first_event_reserve;
  const double ratio = ToSeconds(after) / ToSeconds(expected);
  const double step = ratio > reserve ? kReserveQuantile : kReserveQuantile - 1;
  reserve = std::clamp(reserve * (1 + kReserveGain * step),
                       kMinFirstEventReserve, kMaxFirstEventReserve);
}

// At limited targets, a place is free once the limit allows one more request.
Duration WaitQueue::ReleaseInterval(const std::string& service,
                                    const Queue& local_queue,
                                    const ServiceOpening& opening,
                                    const AllowedRegions& allowed_regions,
                                    Time now) const {
  const double hold_time = local_queue.hold_time_ms == 0
                               ? kInitialHoldTimeMs
                               : local_queue.hold_time_ms;
  const double per_second =
      opening.is_limited
          ? opening.own_rate
          : balancer_->Throughput(service, FromSeconds(hold_time / 1'000.0),
                                  now, allowed_regions);
  return FromSeconds(per_second > 0 ? 1 / per_second : hold_time / 1'000.0);
}

// Callers come back to any VM, so that each VM spreads those that it turns away
// over the mean rate of all VMs.
Duration WaitQueue::RetryAfterOpening(const ServiceOpening& opening, int rank,
                                      std::uint32_t seed, Time now,
                                      Queue* local_queue) {
  if (opening.is_closed) {
    return RetryAfterRest(kClosedRetryAfter, seed);
  }
  if (!opening.is_limited) {
    return RetryAfterRest(opening.at - now, seed);
  }
  Time latest = now;
  for (const auto& [other, time] : local_queue->latest_returns) {
    if (other <= rank) {
      latest = std::max(latest, time);
    }
  }
  const Time due =
      opening.mean_rate > 0
          ? latest + FromSeconds(std::min(1 / opening.mean_rate,
                                          ToSeconds(kMaxLimitRetryAfter)))
          : latest + kMaxLimitRetryAfter;
  if (due - now > kMaxLimitRetryAfter) {
    // More callers than the limits allow until then are told random times in
    // the second half.
    constexpr double kSeeds = 4'294'967'296;
    return Scale(kMaxLimitRetryAfter, 0.5 + 0.5 * (seed / kSeeds));
  }
  local_queue->latest_returns[rank] = due;
  return std::max(kMinRetryAfter, due - now);
}

int WaitQueue::AheadAtPeers(std::uint32_t service,
                            const WaitingRank& rank) const {
  int ahead = 0;
  for (const auto& [peer, state] : peers_) {
    for (const ServiceQueue& queue : state.queues) {
      if (queue.service == service) {
        ahead += static_cast<int>(
            std::count_if(queue.first.begin(), queue.first.end(),
                          [&](const WaitingRank& other) {
                            return SortKey(other) < SortKey(rank);
                          }));
      }
    }
  }
  return ahead;
}

std::vector<WaitDecision> WaitQueue::Decide(Time now) {
  std::vector<WaitDecision> decisions;
  for (auto& [service, local_queue] : queues_) {
    if (!local_queue.requests.empty()) {
      DecideQueue(service, &local_queue, now, &decisions);
    }
  }
  return decisions;
}

std::optional<WaitDecision> WaitQueue::PlaceAtCold(
    const WaitingRequest& request, Time now) {
  if (!balancer_->HasOpenColdTarget(request.need.service, now)) {
    return std::nullopt;
  }
  PlacementNeed need = request.need;
  need.is_for_cold = true;
  need.allows_long_pauses = AllowsLongPauses(request, now);
  const std::optional<Placement> placement = balancer_->Pick(need, now);
  if (!placement.has_value()) {
    return std::nullopt;
  }
  balancer_->OnSent(placement->target, need.prompt_tokens, now);
  WaitDecision decision;
  decision.id = request.id;
  decision.waited = now - request.arrival;
  decision.placement = *placement;
  return decision;
}

// The last one goes first, since it would wait longest for another target. If
// there is no other, the order of the queue holds.
void WaitQueue::PlaceKeptAtCold(bool in_order, Time now,
                                std::vector<WaitingRequest>* kept,
                                std::vector<WaitDecision>* decisions) {
  if (kept->empty() ||
      !balancer_->HasOpenColdTarget(kept->front().need.service, now)) {
    return;
  }
  std::vector<WaitingRequest> left;
  if (!in_order) {
    std::reverse(kept->begin(), kept->end());
  }
  for (const WaitingRequest& request : *kept) {
    const std::optional<WaitDecision> at_cold = PlaceAtCold(request, now);
    if (at_cold.has_value()) {
      decisions->push_back(*at_cold);
    } else {
      left.push_back(request);
    }
  }
  if (!in_order) {
    std::reverse(left.begin(), left.end());
  }
  *kept = std::move(left);
}

WaitQueue::Rooms WaitQueue::FindRooms(const std::string& service,
                                      const Queue& local_queue,
                                      Time now) const {
  Rooms rooms;
  for (const WaitingRequest& request : local_queue.requests) {
    rooms.try_emplace(request.need.allowed_regions);
  }
  for (auto& [allowed_regions, room] : rooms) {
    room.opening = balancer_->OpeningOf(service, now, allowed_regions);
    room.release_interval = ReleaseInterval(service, local_queue, room.opening,
                                            allowed_regions, now);
    room.free_slots = balancer_->FreeSlots(service, now, allowed_regions);
  }
  return rooms;
}

void WaitQueue::OnPlaced(const std::string& service, Time now,
                         Rooms* rooms) const {
  for (auto& [allowed_regions, room] : *rooms) {
    room.free_slots = balancer_->FreeSlots(service, now, allowed_regions);
    if (room.opening.open_turns > 0) {
      room.opening = balancer_->OpeningOf(service, now, allowed_regions);
    }
  }
}

// A request whose own targets have no free slot takes none from requests that
// may use others.
void WaitQueue::OnKept(const AllowedRegions& allowed_regions, Rooms* rooms) {
  const bool has_free_slots = rooms->at(allowed_regions).free_slots > 0;
  for (auto& [other, room] : *rooms) {
    room.position += has_free_slots || other == allowed_regions ? 1 : 0;
  }
}

int WaitQueue::Ahead(const std::string& service, const WaitingRequest& request,
                     const Room& room, Time now) const {
  if (room.opening.is_limited) {
    return room.position;
  }
  const WaitingRank rank = RankOf(request, now);
  int ahead = room.position + AheadAtPeers(Hash32(service), rank);
  if (request.need.allowed_regions.has_value()) {
    ahead +=
        AheadAtPeers(QueueHash(service, request.need.allowed_regions), rank);
  }
  return ahead;
}

void WaitQueue::DecideQueue(const std::string& service, Queue* local_queue,
                            Time now, std::vector<WaitDecision>* decisions) {
  std::stable_sort(local_queue->requests.begin(), local_queue->requests.end(),
                   [now](const WaitingRequest& a, const WaitingRequest& b) {
                     return SortKey(RankOf(a, now)) < SortKey(RankOf(b, now));
                   });
  Rooms rooms = FindRooms(service, *local_queue, now);
  std::vector<WaitingRequest> kept;
  // Targets that nobody has work for would never be known to be warm.
  const bool needs_trial = balancer_->NeedsColdTrial(service, now);
  for (const WaitingRequest& request : local_queue->requests) {
    if (needs_trial && &request == &local_queue->requests.back()) {
      if (const std::optional<WaitDecision> at_cold =
              PlaceAtCold(request, now)) {
        decisions->push_back(*at_cold);
        break;
      }
    }
    Room& room = rooms[request.need.allowed_regions];
    const ServiceOpening& opening = room.opening;
    WaitDecision decision;
    decision.id = request.id;
    decision.waited = now - request.arrival;
    decision.free_slots = room.free_slots;
    decision.ahead = Ahead(service, request, room, now);
    std::optional<Placement> placement;
    // No peer can use the turns of this VM at limited targets.
    if (decision.ahead < decision.free_slots ||
        room.position < opening.open_turns) {
      PlacementNeed need = request.need;
      need.allows_long_pauses = AllowsLongPauses(request, now);
      placement = balancer_->Pick(need, now);
    }
    if (placement.has_value()) {
      decision.placement = *placement;
      balancer_->OnSent(placement->target, request.need.prompt_tokens, now);
      OnPlaced(service, now, &rooms);
      decisions->push_back(decision);
      continue;
    }
    const int releases_needed =
        std::max(0, decision.ahead - decision.free_slots) + 1;
    const Time limit = request.latest_start;
    const bool opens_too_late = opening.at > limit;
    // The first opening itself serves one request.
    const Duration wait =
        opens_too_late
            ? Duration(0)
            : opening.at - now +
                  room.release_interval *
                      (releases_needed - (opening.is_limited ? 1 : 0));
    // Refuses requests that have waited until their latest start, or whose
    // targets all rest or take no requests of this VM until then, and refuses
    // new requests early if the estimated wait is too long.
    if (now >= limit || opens_too_late ||
        (now + wait > limit && MayRefusePromptly(request, now))) {
      if (const std::optional<WaitDecision> at_cold =
              PlaceAtCold(request, now)) {
        decisions->push_back(*at_cold);
        continue;
      }
      decision.kind = WaitDecision::Kind::kRefuse;
      decision.retry_after =
          opening.is_limited || opening.at > now
              ? RetryAfterOpening(opening, request.rank, request.need.seed, now,
                                  local_queue)
              : local_queue->retries.OnRefused(
                    PriorityOf(request),
                    std::clamp(wait, kMinRetryAfter, kMaxRetryAfter),
                    request.max_retry_delay, request.need.seed, now);
      decisions->push_back(decision);
      continue;
    }
    OnKept(request.need.allowed_regions, &rooms);
    kept.push_back(request);
  }
  const bool is_limited = std::any_of(
      rooms.begin(), rooms.end(),
      [](const auto& item) { return item.second.opening.is_limited; });
  PlaceKeptAtCold(is_limited, now, &kept, decisions);
  changes_ += local_queue->requests.size() - kept.size();
  local_queue->requests = std::move(kept);
}

std::optional<Duration> WaitQueue::TimeToOpening(const PlacementNeed& need,
                                                 int rank, Time now) {
  const ServiceOpening opening =
      balancer_->OpeningOf(need.service, now, need.allowed_regions);
  if (!opening.is_limited && opening.at <= now) {
    return std::nullopt;
  }
  return RetryAfterOpening(opening, rank, need.seed, now,
                           &queues_[need.service]);
}

int WaitQueue::Waiting(const std::string& service) const {
  const auto it = queues_.find(service);
  return it == queues_.end() ? 0 : static_cast<int>(it->second.requests.size());
}

std::vector<ServiceQueue> WaitQueue::Queues(Time now) const {
  std::vector<ServiceQueue> queues;
  for (const auto& [service, local_queue] : queues_) {
    if (local_queue.requests.empty()) {
      continue;
    }
    std::map<AllowedRegions, ServiceQueue> by_regions;
    for (const WaitingRequest& request : local_queue.requests) {
      ServiceQueue& queue = by_regions[request.need.allowed_regions];
      if (queue.first.size() < kMaxReportedRequests) {
        queue.first.push_back(RankOf(request, now));
      }
    }
    for (auto& [allowed_regions, queue] : by_regions) {
      queue.service = QueueHash(service, allowed_regions);
      queues.push_back(std::move(queue));
    }
  }
  return queues;
}

}  // namespace hornbeamcleat
