#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_

#include <array>
#include <cstddef>
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
  /// request: lower ranks, and its own rank if allotted no more time.
  double SecondsAhead(const RequestState& request) const;

 private:
  static constexpr std::size_t kUrgencies = 12;

  struct Tier {
    explicit Tier(bool fair) : queue(fair) {}

    FairQueue queue;
    /// Work by binary logarithm of the time allotted to it, in seconds.
    std::array<double, kUrgencies> seconds{};
  };
  using Tiers = std::map<int, Tier>;

  int Key(const RequestState& request) const;
  static std::size_t Urgency(const RequestState& request);
  static void Took(Tier* tier, const RequestState& request);

  bool tiers_;
  Tiers by_rank_;
  std::size_t size_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TIER_QUEUE_H_
