#ifndef HORNBEAMCLEAT_SRC_SERVING_WAIT_QUEUE_H_
#define HORNBEAMCLEAT_SRC_SERVING_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "src/serving/retry_schedule.h"
#include "src/serving/target_balancer.h"

namespace hornbeamcleat {

/// Request that waits for a slot at a target.
struct WaitingRequest {
  std::uint64_t id = 0;  ///< unique within the process
  int rank = 0;          ///< workspace priority; 0 is the highest
  int route_rank = 0;    ///< breaks ties in `rank`
  Time arrival;
  Time objective_deadline;  ///< latest time for the first event or answer
  Time deadline;            ///< the caller's deadline or the route's timeout
  Time latest_start;  ///< set by Add; a later start would miss the objective
  /// Longest time for which the caller follows Retry-After; 0: unknown.
  Duration max_retry_delay{0};
  PlacementNeed need;

  bool operator==(const WaitingRequest&) const = default;
};

/// Decision on a waiting request.
struct WaitDecision {
  enum class Kind { kPlace, kRefuse };

  std::uint64_t id = 0;
  Kind kind = Kind::kPlace;
  Placement placement;      ///< set for kPlace
  Duration retry_after{0};  ///< set for kRefuse: when to retry
  Duration waited{0};
  int ahead = 0;       ///< requests ahead of it, at this VM and its peers
  int free_slots = 0;  ///< at the time of the decision

  bool operator==(const WaitDecision&) const = default;
};

/// Requests of this VM that wait for a slot, in one queue per service. The
/// queues of all VMs act as a single queue: a request takes a slot only if
/// fewer requests are ahead of it, at this VM and its peers, than there are
/// free slots.
///
/// Load pattern: demand exceeds the capacity of the engines for seconds at a
/// time, from callers with different ranks, at all VMs at once. Slots are
/// assigned by workspace rank, then to requests that can still meet their
/// objective, by route rank and earliest latest start first. Requests that
/// cannot be served within the wait that their objective allows are refused
/// immediately. A caller that retries after its objective has passed gets a
/// slot that is free, but doesn't wait for one.
///
/// If all targets rest, requests wait for the first of them only if they can
/// still meet their objective then. The others are told to come back after it,
/// spread over a time in which the targets are tried.
///
/// If all targets state limits, each VM has its own part of them: it takes no
/// account of peers' queues, and refuses what it can't serve with the time at
/// which the limits allow one more request, higher ranks first.
class WaitQueue {
 public:
  explicit WaitQueue(TargetBalancer* balancer) : balancer_(balancer) {}

  void Add(const WaitingRequest& request);
  /// Removes a request, for example because its caller disconnected.
  void Remove(std::uint64_t id);

  /// Replaces a peer's queues; an empty list removes the peer.
  void SetPeerQueues(const std::string& peer,
                     const std::vector<ServiceQueue>& queues, Time now);

  /// Records that a request of the service ended after occupying its slot for
  /// `hold_time`.
  void OnSlotReleased(const std::string& service, Duration hold_time);

  /// Records the time from a request's placement to its first event or answer.
  /// @param expected as estimated when it was placed
  void OnFirstEvent(const std::string& service, Duration after,
                    Duration expected);

  /// Decides on all waiting requests. Placed and refused requests leave their
  /// queue; placed ones are recorded as sent in the load balancer.
  std::vector<WaitDecision> Decide(Time now);

  /// Returns the time until a request that targets turned away may come back,
  /// or nullopt if some target of its service neither rests nor states a limit.
  std::optional<Duration> TimeToOpening(const PlacementNeed& need, int rank,
                                        Time now);

  /// Number of requests that wait at this VM for the service.
  int Waiting(const std::string& service) const;

  /// Number of changes so far to the state that Queues reports.
  std::uint64_t Changes() const { return changes_; }

  /// Returns the head of each queue, to report to peers.
  std::vector<ServiceQueue> Queues(Time now) const;

 private:
  /// Least time reserved for the first event, as a multiple of the estimate.
  static constexpr double kMinFirstEventReserve = 1.3;

  struct Queue {
    std::vector<WaitingRequest> requests;
    double hold_time_ms = 0;  ///< moving average of the time a slot is occupied
    /// High quantile of the time to the first event, as a multiple of the
    /// estimate.
    double first_event_reserve = kMinFirstEventReserve;
    /// When the latest caller of each rank returns whom limits turned away.
    std::map<int, Time> latest_returns;
    RetrySchedule retries;
  };
  struct PeerQueues {
    std::vector<ServiceQueue> queues;
    Time received_at;
  };

  /// Places a request for which no other target has room at a cold one.
  std::optional<WaitDecision> PlaceAtCold(const WaitingRequest& request,
                                          Time now);
  /// Places those that wait at cold targets.
  void PlaceKeptAtCold(bool in_order, Time now,
                       std::vector<WaitingRequest>* kept,
                       std::vector<WaitDecision>* decisions);
  /// What waiting requests with the same allowed regions find at their targets.
  struct Room {
    ServiceOpening opening;
    Duration release_interval{0};
    int free_slots = 0;
    /// Requests of this VM that go before the next one and may take its slots.
    int position = 0;
  };
  using Rooms = std::map<AllowedRegions, Room>;

  Rooms FindRooms(const std::string& service, const Queue& local_queue,
                  Time now) const;
  void OnPlaced(const std::string& service, Time now, Rooms* rooms) const;
  static void OnKept(const AllowedRegions& allowed_regions, Rooms* rooms);
  int Ahead(const std::string& service, const WaitingRequest& request,
            const Room& room, Time now) const;
  void DecideQueue(const std::string& service, Queue* local_queue, Time now,
                   std::vector<WaitDecision>* decisions);
  int AheadAtPeers(std::uint32_t service, const WaitingRank& rank) const;
  Duration ReleaseInterval(const std::string& service, const Queue& local_queue,
                           const ServiceOpening& opening,
                           const AllowedRegions& allowed_regions,
                           Time now) const;
  /// Returns the time until a caller of this rank may come back to a service
  /// whose targets rest or state limits.
  static Duration RetryAfterOpening(const ServiceOpening& opening, int rank,
                                    std::uint32_t seed, Time now,
                                    Queue* local_queue);

  TargetBalancer* const balancer_;
  std::uint64_t changes_ = 0;
  std::map<std::string, Queue> queues_;
  std::map<std::string, PeerQueues> peers_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_WAIT_QUEUE_H_
