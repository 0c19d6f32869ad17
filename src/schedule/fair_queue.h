#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_FAIR_QUEUE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_FAIR_QUEUE_H_

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/schedule/request_state.h"

namespace hornbeamcleat {

/// Queue of one tier with start-time fair queueing among workspaces: each
/// backlogged workspace gets service in proportion to its weight, and capacity
/// that one does not use goes to the others. Within a workspace the request
/// with the earliest start goal goes first. Keeps state only for workspaces
/// that are backlogged or ahead of their share. All operations are logarithmic
/// in the number of such workspaces.
class FairQueue {
 public:
  /// @param fair false uses one queue for all workspaces
  explicit FairQueue(bool fair) : fair_(fair) {}

  /// Adds a request. Its start goal must not change while it is queued.
  void Push(RequestState* request);

  /// Returns the next request to serve; nullptr if empty.
  RequestState* Head() const;

  /// Removes the head and charges its cost to its workspace.
  void PopHead();

  /// Removes a waiting request without charging its workspace.
  void Remove(RequestState* request);

  /// Returns the request to displace first: the last one of the workspace that
  /// is furthest ahead of its share; nullptr if empty.
  RequestState* Last() const;

  /// Appends all waiting requests, in unspecified order.
  void AppendAll(std::vector<RequestState*>* all) const;

  std::size_t Size() const { return size_; }

  /// Number of workspaces with state.
  std::size_t Workspaces() const { return flows_.size(); }

 private:
  struct Earlier {
    bool operator()(const RequestState* a, const RequestState* b) const;
  };
  struct Flow {
    double start = 0;  ///< virtual time at which its next service starts
    std::set<RequestState*, Earlier> waiting;
  };
  using Flows = std::unordered_map<std::uint64_t, Flow>;

  std::uint64_t Key(const RequestState& request) const;
  void Deactivate(Flows::iterator it);
  void RemoveIdleFlows();

  bool fair_;
  Flows flows_;
  std::set<std::pair<double, std::uint64_t>> active_;
  std::set<std::pair<double, std::uint64_t>> idle_;
  double virtual_time_ = 0;
  std::size_t size_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_FAIR_QUEUE_H_
