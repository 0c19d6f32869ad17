#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_DISPATCHER_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_DISPATCHER_H_

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/explain_log.h"
#include "src/schedule/model_state.h"
#include "src/schedule/prefix_index.h"
#include "src/schedule/request_state.h"
#include "src/schedule/target_chooser.h"
#include "src/schedule/target_table.h"
#include "src/schedule/tier_queue.h"
#include "src/schedule/version_policy.h"

namespace hornbeamcleat {

/// Holds waiting requests and gives them to targets with a free credit.
class Dispatcher {
 public:
  explicit Dispatcher(const SchedulerOptions& options);

  /// Takes a new view. Waiting requests whose version choice changed change
  /// lanes; call DispatchAll afterwards.
  void SetView(const std::shared_ptr<const ClusterView>& view);

  /// Sums up the pools again and lets floors reopen.
  void Tick(Time now);

  /// State of a model, made on demand.
  ModelState* Model(const std::string& name);

  /// Notes which version the request's share chooses.
  void ChooseVersion(RequestState* request) const;

  /// Whether any open target may serve the request.
  bool HasTarget(const RequestState& request) const {
    return chooser_.HasTarget(request);
  }

  void Push(RequestState* request);

  /// Removes a request that waits.
  void Remove(RequestState* request);

  /// Waiting request of the greatest rank above `rank`; nullptr if none.
  static RequestState* Displaceable(const ModelState& model, int rank);

  /// Gives waiting requests of the model to free targets. Each started request
  /// holds a credit and is in kIntent or kDispatched.
  void Dispatch(ModelState* model, Time now, Actions* actions);
  void DispatchAll(Time now, Actions* actions);

  /// Sends a request that holds a credit to its target.
  void Send(RequestState* request, Time now, Actions* actions);

  /// Frees the credit that the request holds.
  void Release(RequestState* request);

  TargetTable& Targets() { return targets_; }
  PrefixIndex& Prefixes() { return prefixes_; }
  ExplainLog& Log() { return log_; }
  const ExplainLog& Log() const { return log_; }
  std::map<std::string, ModelState>& Models() { return models_; }
  const std::map<std::string, ModelState>& Models() const { return models_; }
  int Queued() const { return queued_; }

 private:
  /// Least rank that each lane may still start in one pass.
  using LeastRanks = std::array<int, 2>;

  static std::size_t BestLane(const ModelState& model,
                              const LeastRanks& least_ranks);
  /// Whether the credits still free are kept for work of higher tiers, which
  /// would otherwise wait for long answers of lower ones to end.
  bool KeptForHigher(const RequestState& request, Time now) const;
  void Start(RequestState* request, TargetState* target, Time now,
             Actions* actions);
  void TakeView(ModelState* model) const;
  void Rearrange(ModelState* model);

  const SchedulerOptions options_;
  TargetTable targets_;
  VersionPolicy versions_;
  PrefixIndex prefixes_;
  TargetChooser chooser_;
  ExplainLog log_;
  std::map<std::string, ModelState> models_;
  std::shared_ptr<const ClusterView> view_;
  std::set<int> ranks_;
  int queued_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_DISPATCHER_H_
