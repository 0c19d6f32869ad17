#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_

#include <map>
#include <vector>

#include "src/schedule/fair_queue.h"

namespace hornbeamcleat {

/// Waiting requests of one model by tier: a lower rank always goes first.
class TierQueue {
 public:
  /// @param tiers false keeps one queue for all, in order of arrival
  explicit TierQueue(bool tiers) : tiers_(tiers) {}

  void Push(RequestState* request);

  /// Puts a removed request back before the others of its workspace.
  void PushFront(RequestState* request);

  /// Removes a waiting request that is not served.
  void Remove(RequestState* request);

  /// Next request to serve among ranks of at least `least_rank`; nullptr if
  /// there is none.
  RequestState* Head(int least_rank) const;

  /// Removes a head that is served and charges its workspace.
  void Pop(RequestState* head);

  /// Request of the greatest rank that gives way first; nullptr if empty.
  RequestState* Last() const;

  /// All waiting requests, in no order.
  std::vector<RequestState*> All() const;

  std::size_t Size() const { return size_; }

  /// Expected service time, in seconds, of waiting work that goes before a new
  /// request of `rank`.
  double SecondsAhead(int rank) const;

 private:
  struct Tier {
    explicit Tier(bool fair) : queue(fair) {}

    FairQueue queue;
    double seconds = 0;
  };
  using Tiers = std::map<int, Tier>;

  int Key(const RequestState& request) const;
  Tier* Added(RequestState* request);
  void Took(Tiers::iterator it, double cost);

  bool tiers_;
  Tiers by_rank_;
  std::size_t size_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_
