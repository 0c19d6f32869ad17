#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_CHOOSER_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_CHOOSER_H_

#include <random>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/model_state.h"
#include "src/schedule/prefix_index.h"
#include "src/schedule/request_state.h"
#include "src/schedule/target_table.h"
#include "src/schedule/version_policy.h"

namespace hornbeamcleat {

/// Selects the target of a request among those with a free credit: the one
/// expected to finish it first, by measured speed, expected length, cached
/// prefix and this entry's requests in flight. A random factor keeps entries
/// from selecting the same target.
class TargetChooser {
 public:
  TargetChooser(const SchedulerOptions& options, const TargetTable* targets,
                const VersionPolicy* versions, const PrefixIndex* prefixes)
      : options_(options),
        targets_(targets),
        versions_(versions),
        prefixes_(prefixes),
        random_(options.seed) {}

  /// Whether any open target may serve the request.
  bool HasTarget(const RequestState& request) const;

  /// Whether any target of the model can accept a request now.
  bool AnyAvailable(const ModelState& model, Time now) const;

  /// Selects a target.
  /// @return nullptr if the request should wait
  TargetState* Choose(const RequestState& request, const ModelState& model,
                      Time now);

 private:
  /// Whether the request has time to wait for a better target and such a target
  /// exists.
  static bool ShouldWait(const RequestState& request, const ModelState& model,
                         Time now);
  bool IsAvailable(const TargetState& target, Time now) const;
  double Score(const TargetState& target, const RequestState& request,
               std::size_t cached_blocks, Time now);
  double BaselineScore(const TargetState& target);

  const SchedulerOptions options_;
  const TargetTable* targets_;
  const VersionPolicy* versions_;
  const PrefixIndex* prefixes_;
  std::mt19937_64 random_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TARGET_CHOOSER_H_
