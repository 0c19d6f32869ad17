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

/// Queues requests and assigns them to targets with a free credit.
class Dispatcher {
 public:
  explicit Dispatcher(const SchedulerOptions& options);

  /// Applies a new view. Waiting requests whose version choice changed move to
  /// the other lane; call DispatchAll afterwards.
  void SetView(const std::shared_ptr<const ClusterView>& view);

  /// Updates the pool summaries and reopens ranks that are due.
  void Tick(Time now);

  /// Returns the state of a model and creates it on first use.
  ModelState* Model(const std::string& name);

  /// Records which version the move's share selects for the request.
  void ChooseVersion(RequestState* request) const;

  /// Whether any open target may serve the request.
  bool HasTarget(const RequestState& request) const {
    return chooser_.HasTarget(request);
  }

  void Push(RequestState* request);

  void Remove(RequestState* request);

  /// Returns the waiting request of the greatest rank above `rank`; nullptr if
  /// none.
  static RequestState* FindDisplaceable(const ModelState& model, int rank);

  /// Assigns waiting requests of the model to available targets. Each started
  /// request holds a credit and is in kRecordingIntent or kDispatched.
  void Dispatch(ModelState* model, Time now, Actions* actions);
  void DispatchAll(Time now, Actions* actions);

  /// Sends a request that holds a credit to its target.
  void Send(RequestState* request, Time now, Actions* actions);

  void ReleaseCredit(RequestState* request);

  TargetTable& Targets() { return targets_; }
  PrefixIndex& Prefixes() { return prefixes_; }
  ExplainLog& Log() { return log_; }
  const ExplainLog& Log() const { return log_; }
  std::map<std::string, ModelState>& Models() { return models_; }
  const std::map<std::string, ModelState>& Models() const { return models_; }
  int Queued() const { return queued_; }

 private:
  /// Lowest rank that each lane may still start in one pass.
  using MinRanks = std::array<int, 2>;

  static std::size_t BestLane(const ModelState& model,
                              const MinRanks& min_ranks);
  /// Whether the remaining credits are reserved for work of higher tiers, which
  /// would otherwise wait for long answers of lower tiers to end.
  bool IsReservedForHigherTiers(const RequestState& request, Time now) const;
  void Start(RequestState* request, TargetState* target, Time now,
             Actions* actions);
  void ApplyView(ModelState* model) const;
  void RequeueChangedVersions(ModelState* model);

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
