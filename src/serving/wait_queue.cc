#include "src/serving/wait_queue.h"

#include <algorithm>
#include <tuple>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Requests of one line that peers are told of; more make no difference, as
/// places free up one by one.
constexpr std::size_t kToldRequests = 12;
/// Time kept for the first event, as a multiple of the usual time.
constexpr double kStartReserve = 1.3;
/// Part of its wait after which a request takes a target that breaks the pauses
/// of streams, if there is no other.
constexpr double kPauseWaitShare = 0.8;
/// Part of its objective that a request may wait at the least.
constexpr double kLeastWaitShare = 0.2;
/// Part of its objective within which a refusal costs its caller nothing.
constexpr double kPromptRefusalShare = 0.125;
/// Weight of a new sample of the time that a place is held.
constexpr double kHeldGain = 0.05;
/// Time that a place is held until the first sample.
constexpr double kHeldStartMs = 500;
/// Bounds of the advice on when to come back.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMostRetryAfter = std::chrono::seconds(5);

WaitingRank RankOf(const WaitingRequest& request, Time now) {
  WaitingRank rank;
  rank.rank = request.rank;
  rank.route_rank = request.route_rank;
  rank.slack_ms = static_cast<std::int32_t>((request.start_by - now) /
                                            std::chrono::milliseconds(1));
  return rank;
}

// Those that missed their objective go after those that can still meet it.
std::tuple<int, int, bool, int> Order(const WaitingRank& rank) {
  return {rank.rank, rank.route_rank, rank.slack_ms < 0, rank.slack_ms};
}

Duration Scale(Duration d, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(d.count()) * factor));
}

Time StartBy(const WaitingRequest& request, Duration expected) {
  const Duration objective = request.objective_deadline - request.arrival;
  const Time latest =
      request.objective_deadline - Scale(expected, kStartReserve);
  const Time least = request.arrival + Scale(objective, kLeastWaitShare);
  return std::min(std::max(latest, least), request.deadline);
}

bool AcceptsPauses(const WaitingRequest& request, Time now) {
  return now - request.arrival >
         Scale(request.start_by - request.arrival, kPauseWaitShare);
}

bool MayRefusePromptly(const WaitingRequest& request, Time now) {
  const Duration objective = request.objective_deadline - request.arrival;
  return now - request.arrival <= Scale(objective, kPromptRefusalShare);
}

}  // namespace

void WaitQueue::Add(const WaitingRequest& request) {
  WaitingRequest waiting = request;
  waiting.start_by = StartBy(request, board_->TypicalExpected(request.need));
  lines_[request.need.service].requests.push_back(waiting);
  ++changes_;
}

void WaitQueue::Remove(std::uint64_t id) {
  for (auto& [service, line] : lines_) {
    changes_ += std::erase_if(
        line.requests,
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

void WaitQueue::OnSlotReleased(const std::string& service, Duration held) {
  Line& line = lines_[service];
  const double ms = static_cast<double>(held.count()) / 1'000.0;
  line.held_ms =
      line.held_ms == 0 ? ms : line.held_ms + kHeldGain * (ms - line.held_ms);
}

Duration WaitQueue::TimePerPlace(const std::string& service,
                                 const Line& line) const {
  const double held = line.held_ms == 0 ? kHeldStartMs : line.held_ms;
  const int slots = std::max(1, board_->AllPlaces(service));
  return Duration(static_cast<std::int64_t>(held * 1'000.0 / slots));
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
                            return Order(other) < Order(rank);
                          }));
      }
    }
  }
  return ahead;
}

std::vector<WaitDecision> WaitQueue::Decide(Time now) {
  std::vector<WaitDecision> decisions;
  for (auto& [service, line] : lines_) {
    if (!line.requests.empty()) {
      DecideLine(service, &line, now, &decisions);
    }
  }
  return decisions;
}

void WaitQueue::DecideLine(const std::string& service, Line* line, Time now,
                           std::vector<WaitDecision>* decisions) {
  std::stable_sort(line->requests.begin(), line->requests.end(),
                   [now](const WaitingRequest& a, const WaitingRequest& b) {
                     return Order(RankOf(a, now)) < Order(RankOf(b, now));
                   });
  const std::uint32_t hash = Hash32(service);
  const Duration per_place = TimePerPlace(service, *line);
  std::vector<WaitingRequest> kept;
  int position = 0;
  int free_slots = board_->FreePlaces(service, now);
  for (const WaitingRequest& request : line->requests) {
    WaitDecision decision;
    decision.id = request.id;
    decision.waited = now - request.arrival;
    decision.free_slots = free_slots;
    decision.ahead = position + AheadAtPeers(hash, RankOf(request, now));
    std::optional<Placement> placement;
    if (decision.ahead < decision.free_slots) {
      PlacementNeed need = request.need;
      need.accepts_pauses = AcceptsPauses(request, now);
      placement = board_->Pick(need, now);
    }
    if (placement.has_value()) {
      decision.placement = *placement;
      board_->OnSent(placement->target, request.need.prompt_tokens, now);
      free_slots = board_->FreePlaces(service, now);
      decisions->push_back(decision);
      continue;
    }
    ++position;
    const int behind = std::max(0, decision.ahead - decision.free_slots) + 1;
    const Duration wait = per_place * behind;
    const Time limit = request.start_by;
    // A wait that turns out too long is cut short; one that is too long from
    // the start is refused before it costs the caller any time.
    if (now >= limit ||
        (now + wait > limit && MayRefusePromptly(request, now))) {
      decision.kind = WaitDecision::Kind::kRefuse;
      decision.retry_after =
          std::clamp(wait, kLeastRetryAfter, kMostRetryAfter);
      decisions->push_back(decision);
      --position;
      continue;
    }
    kept.push_back(request);
  }
  changes_ += line->requests.size() - kept.size();
  line->requests = std::move(kept);
}

int WaitQueue::Waiting(const std::string& service) const {
  const auto it = lines_.find(service);
  return it == lines_.end() ? 0 : static_cast<int>(it->second.requests.size());
}

std::vector<ServiceQueue> WaitQueue::Queues(Time now) const {
  std::vector<ServiceQueue> queues;
  for (const auto& [service, line] : lines_) {
    if (line.requests.empty()) {
      continue;
    }
    ServiceQueue queue;
    queue.service = Hash32(service);
    for (const WaitingRequest& request : line.requests) {
      if (queue.first.size() == kToldRequests) {
        break;
      }
      queue.first.push_back(RankOf(request, now));
    }
    queues.push_back(queue);
  }
  return queues;
}

}  // namespace hornbeamcleat
