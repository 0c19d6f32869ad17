#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_DISPATCHER_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_DISPATCHER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/request_state.h"
#include "src/schedule/target_table.h"
#include "src/schedule/tier_queue.h"
#include "src/schedule/version_policy.h"

namespace hornbeamcleat {

/// Holds waiting requests and gives them to targets with a free slot.
class Dispatcher {
 public:
  explicit Dispatcher(const SchedulerOptions& options);

  /// Takes a new view. Waiting requests whose version choice changed change
  /// lanes; call DispatchAll afterwards.
  void SetView(const std::shared_ptr<const ClusterView>& view);

  /// Whether any open target may serve the request.
  bool HasTarget(const RequestState& request) const;

  void Push(RequestState* request);

  /// Removes a request that waits.
  void Remove(RequestState* request);

  /// Waiting request that gives way to one of `rank`; nullptr if none.
  RequestState* Displaceable(const std::string& model, int rank) const;

  /// Gives waiting requests of the model to free targets. Each started request
  /// holds a slot and is in kIntent or kDispatched.
  void Dispatch(const std::string& model, Time now, Actions* actions);
  void DispatchAll(Time now, Actions* actions);

  /// Sends a request that holds a slot to its target.
  void Send(RequestState* request, Time now, Actions* actions);

  /// Frees the slot that the request holds.
  void Release(RequestState* request);

  TargetTable& Targets() { return targets_; }
  int Queued() const { return queued_; }

 private:
  /// Waiting requests of a model that prefer the old or the new version.
  using Lanes = std::array<TierQueue, 2>;

  TierQueue* BestLane(Lanes* lanes, const std::array<bool, 2>& blocked) const;
  TargetState* PickTarget(const RequestState& request, Time now);
  bool NewVersionFull(const std::string& model) const;
  void Start(RequestState* request, TargetState* target, Time now,
             Actions* actions);
  void Rearrange(Lanes* lanes);

  const SchedulerOptions options_;
  TargetTable targets_;
  VersionPolicy versions_;
  std::map<std::string, Lanes> lanes_by_model_;
  std::map<std::string, int> in_flight_on_new_;
  std::mt19937_64 random_;
  int queued_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_DISPATCHER_H_
