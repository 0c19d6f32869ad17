#ifndef HORNBEAMCLEAT_SRC_SERVING_WAIT_QUEUE_H_
#define HORNBEAMCLEAT_SRC_SERVING_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "src/serving/target_balancer.h"

namespace hornbeamcleat {

/// Request that wants a place at a target.
struct WaitingRequest {
  std::uint64_t id = 0;  ///< unique in this process
  int rank = 0;          ///< of its workspace; 0 goes first
  int route_rank = 0;    ///< among equals by `rank`
  Time arrival;
  Time objective_deadline;  ///< objective
  Time deadline;            ///< the caller's deadline or the route's timeout
  Time start_by;  ///< set by the line: a later start misses the objective
  PlacementNeed need;

  bool operator==(const WaitingRequest&) const = default;
};

/// Fate of a waiting request.
struct WaitDecision {
  enum class Kind { kPlace, kRefuse };

  std::uint64_t id = 0;
  Kind kind = Kind::kPlace;
  Placement placement;      ///< of kPlace
  Duration retry_after{0};  ///< of kRefuse: when a place should be free
  Duration waited{0};
  int ahead = 0;       ///< requests before it, here and at peers
  int free_slots = 0;  ///< at the time of the decision

  bool operator==(const WaitDecision&) const = default;
};

/// Requests of this VM that wait for a place, one line for each service. The
/// lines of all VMs act as one: a request takes a place only if no more
/// requests go before it at the peers than there are other free places.
///
/// Load pattern: demand passes what the engines can do for seconds at a time,
/// from callers with different ranks, at all VMs at once. Places go by rank,
/// then to those that can still be on time, earliest objective first. Who can't
/// be served within the wait that its objective allows is refused at once.
class WaitQueue {
 public:
  explicit WaitQueue(TargetBalancer* board) : board_(board) {}

  void Add(const WaitingRequest& request);
  /// Takes a request out, for example because its caller left.
  void Remove(std::uint64_t id);

  /// Replaces what a peer has waiting; an empty list forgets the peer.
  void SetPeerQueues(const std::string& peer,
                     const std::vector<ServiceQueue>& queues, Time now);

  /// A request of the service ended after holding its place for `held`.
  void OnSlotReleased(const std::string& service, Duration held);

  /// Decides on all that wait. Placed and refused requests leave the line; the
  /// placed ones count as sent on the board.
  std::vector<WaitDecision> Decide(Time now);

  /// Requests that wait at this VM for the service.
  int Waiting(const std::string& service) const;

  /// Changes so far to what the peers are told.
  std::uint64_t Changes() const { return changes_; }

  /// First requests of each line, for the peers.
  std::vector<ServiceQueue> Queues(Time now) const;

 private:
  struct Line {
    std::vector<WaitingRequest> requests;
    double held_ms = 0;  ///< moving average of the time a place is held
  };
  struct PeerQueues {
    std::vector<ServiceQueue> queues;
    Time taken;
  };

  void DecideLine(const std::string& service, Line* line, Time now,
                  std::vector<WaitDecision>* decisions);
  int AheadAtPeers(std::uint32_t service, const WaitingRank& rank) const;
  Duration TimePerPlace(const std::string& service, const Line& line) const;

  TargetBalancer* const board_;
  std::uint64_t changes_ = 0;
  std::map<std::string, Line> lines_;
  std::map<std::string, PeerQueues> peers_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_WAIT_QUEUE_H_
