#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_

#include <map>

#include "src/schedule/fair_queue.h"

namespace hornbeamcleat {

/// Waiting requests of one model by tier: a lower rank always goes first.
class TierQueue {
 public:
  /// @param tiers false keeps one queue for all tiers
  explicit TierQueue(bool tiers = true) : tiers_(tiers) {}

  void Push(RequestState* request);
  void Remove(RequestState* request);

  /// Next request to serve; nullptr if empty.
  RequestState* Head() const;
  void PopHead();

  /// Request of the greatest rank that gives way first; nullptr if empty.
  RequestState* Last() const;

  std::size_t Size() const { return size_; }

  /// Expected service time, in seconds, of waiting work that goes before a new
  /// request of `rank`.
  double SecondsAhead(int rank) const;

 private:
  struct Tier {
    FairQueue queue;
    double seconds = 0;
  };

  int Key(const RequestState& request) const;
  void Took(std::map<int, Tier>::iterator it, double cost);

  bool tiers_;
  std::map<int, Tier> by_rank_;
  std::size_t size_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_
