#ifndef HORNBEAMCLEAT_SRC_LOAD_ARRIVAL_PLAN_H_
#define HORNBEAMCLEAT_SRC_LOAD_ARRIVAL_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/load/experiment.h"

namespace hornbeamcleat {

/// Request that a run will send, whatever becomes of those before it.
struct PlannedRequest {
  std::string id;
  Duration at = Duration(0);      ///< intended send time since the start
  std::size_t request_class = 0;  ///< index into the experiment's classes
  std::int64_t max_tokens = 0;
  std::int64_t prefix = 0;        ///< number of the shared prefix
  std::int64_t prompt_bytes = 0;  ///< prefix and own ending together

  bool operator==(const PlannedRequest&) const = default;
};

/// All requests of an experiment in order of time; the same for each seed.
std::vector<PlannedRequest> PlanArrivals(const Experiment& experiment);

/// Prompt of `request`; a function of its prefix and id.
std::string PromptText(const PlannedRequest& request, const PromptShape& shape);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_ARRIVAL_PLAN_H_
