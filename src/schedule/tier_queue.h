#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_

#include <array>
#include <cstddef>
#include <map>
#include <vector>

#include "src/schedule/fair_queue.h"

namespace hornbeamcleat {

/// Queue of one model, ordered by tier: a lower rank always goes first.
class TierQueue {
 public:
  /// @param tiers false uses one queue for all tiers, in order of arrival
  explicit TierQueue(bool tiers) : tiers_(tiers) {}

  void Push(RequestState* request);

  /// Removes a waiting request without serving it.
  void Remove(RequestState* request);

  /// Returns the next request to serve among ranks of at least `least_rank`;
  /// nullptr if there is none.
  RequestState* Head(int least_rank) const;

  /// Removes a head that is being served and charges its workspace.
  void Pop(RequestState* head);

  /// Returns the request to displace first, which has the greatest rank;
  /// nullptr if empty.
  RequestState* Last() const;

  /// All waiting requests, in unspecified order.
  std::vector<RequestState*> All() const;

  std::size_t Size() const { return size_; }

  /// Expected service time, in seconds, of the queued work that goes before a
  /// new request: lower ranks, and its own rank with no greater time budget.
  double SecondsAhead(const RequestState& request) const;

 private:
  static constexpr std::size_t kUrgencyBuckets = 12;

  struct Tier {
    explicit Tier(bool fair) : queue(fair) {}

    FairQueue queue;
    /// Queued work in seconds, by the binary logarithm of its time budget in
    /// seconds.
    std::array<double, kUrgencyBuckets> seconds{};
  };
  using Tiers = std::map<int, Tier>;

  int Key(const RequestState& request) const;
  static std::size_t UrgencyBucket(const RequestState& request);
  static void SubtractCost(Tier* tier, const RequestState& request);

  bool tiers_;
  Tiers by_rank_;
  std::size_t size_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_
