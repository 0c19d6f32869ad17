#include "src/serving/wait_queue.h"

#include <algorithm>
#include <tuple>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Requests of one queue reported to peers. Slots are freed one at a time, so
/// more would make no difference.
constexpr std::size_t kMaxReportedRequests = 12;
/// Time reserved for the first event, as a multiple of the typical time.
constexpr double kFirstEventReserve = 1.3;
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
/// Other targets may have come after this time, however long a rest is.
constexpr Duration kMaxRestRetryAfter = std::chrono::seconds(60);

WaitingRank RankOf(const WaitingRequest& request, Time now) {
  WaitingRank rank;
  rank.rank = request.rank;
  rank.route_rank = request.route_rank;
  rank.slack_ms = static_cast<std::int32_t>((request.latest_start - now) /
                                            std::chrono::milliseconds(1));
  return rank;
}

// Requests that can still meet their objective precede those that cannot.
std::tuple<int, int, bool, int> SortKey(const WaitingRank& rank) {
  return {rank.rank, rank.route_rank, rank.slack_ms < 0, rank.slack_ms};
}

Duration Scale(Duration d, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(d.count()) * factor));
}

Time LatestStart(const WaitingRequest& request, Duration expected) {
  const Duration objective = request.objective_deadline - request.arrival;
  const Time latest =
      request.objective_deadline - Scale(expected, kFirstEventReserve);
  const Time earliest = request.arrival + Scale(objective, kMinWaitShare);
  return std::min(std::max(latest, earliest), request.deadline);
}

bool AllowsLongPauses(const WaitingRequest& request, Time now) {
  return now - request.arrival >
         Scale(request.latest_start - request.arrival, kPauseWaitShare);
}

bool MayRefusePromptly(const WaitingRequest& request, Time now) {
  const Duration objective = request.objective_deadline - request.arrival;
  return now - request.arrival <= Scale(objective, kPromptRefusalShare);
}

Duration RetryAfterRest(Duration left, std::uint32_t seed) {
  constexpr double kSeeds = 4'294'967'296;
  return std::min(left, kMaxRestRetryAfter) +
         Scale(kReturnSpread, seed / kSeeds);
}

}  // namespace

void WaitQueue::Add(const WaitingRequest& request) {
  WaitingRequest waiting = request;
  waiting.latest_start =
      LatestStart(request, balancer_->TypicalLatency(request.need));
  queues_[request.need.service].requests.push_back(waiting);
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

Duration WaitQueue::ReleaseInterval(const std::string& service,
                                    const Queue& local_queue) const {
  const double hold_time = local_queue.hold_time_ms == 0
                               ? kInitialHoldTimeMs
                               : local_queue.hold_time_ms;
  const int slots = std::max(1, balancer_->TotalSlots(service));
  return Duration(static_cast<std::int64_t>(hold_time * 1'000.0 / slots));
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

void WaitQueue::DecideQueue(const std::string& service, Queue* local_queue,
                            Time now, std::vector<WaitDecision>* decisions) {
  std::stable_sort(local_queue->requests.begin(), local_queue->requests.end(),
                   [now](const WaitingRequest& a, const WaitingRequest& b) {
                     return SortKey(RankOf(a, now)) < SortKey(RankOf(b, now));
                   });
  const std::uint32_t hash = Hash32(service);
  const Duration release_interval = ReleaseInterval(service, *local_queue);
  std::vector<WaitingRequest> kept;
  int position = 0;
  const Time opens_at = balancer_->OpensAt(service, now);
  int free_slots = balancer_->FreeSlots(service, now);
  for (const WaitingRequest& request : local_queue->requests) {
    WaitDecision decision;
    decision.id = request.id;
    decision.waited = now - request.arrival;
    decision.free_slots = free_slots;
    decision.ahead = position + AheadAtPeers(hash, RankOf(request, now));
    std::optional<Placement> placement;
    if (decision.ahead < decision.free_slots) {
      PlacementNeed need = request.need;
      need.allows_long_pauses = AllowsLongPauses(request, now);
      placement = balancer_->Pick(need, now);
    }
    if (placement.has_value()) {
      decision.placement = *placement;
      balancer_->OnSent(placement->target, request.need.prompt_tokens, now);
      free_slots = balancer_->FreeSlots(service, now);
      decisions->push_back(decision);
      continue;
    }
    ++position;
    const int releases_needed =
        std::max(0, decision.ahead - decision.free_slots) + 1;
    const Duration wait = opens_at - now + release_interval * releases_needed;
    const Time limit = request.latest_start;
    // Refuses requests that have waited until their latest start, or whose
    // targets all rest until then, and refuses new requests early if the
    // estimated wait is too long.
    if (now >= limit || opens_at > limit ||
        (now + wait > limit && MayRefusePromptly(request, now))) {
      decision.kind = WaitDecision::Kind::kRefuse;
      decision.retry_after =
          opens_at > now ? RetryAfterRest(opens_at - now, request.need.seed)
                         : std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
      decisions->push_back(decision);
      --position;
      continue;
    }
    kept.push_back(request);
  }
  changes_ += local_queue->requests.size() - kept.size();
  local_queue->requests = std::move(kept);
}

std::optional<Duration> WaitQueue::TimeToRestEnd(const PlacementNeed& need,
                                                 Time now) const {
  const Time opens_at = balancer_->OpensAt(need.service, now);
  if (opens_at <= now) {
    return std::nullopt;
  }
  return RetryAfterRest(opens_at - now, need.seed);
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
    ServiceQueue queue;
    queue.service = Hash32(service);
    for (const WaitingRequest& request : local_queue.requests) {
      if (queue.first.size() == kMaxReportedRequests) {
        break;
      }
      queue.first.push_back(RankOf(request, now));
    }
    queues.push_back(queue);
  }
  return queues;
}

}  // namespace hornbeamcleat
