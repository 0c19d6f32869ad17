#ifndef HORNBEAMCLEAT_TESTS_SERVING_LOAD_REPLAY_H_
#define HORNBEAMCLEAT_TESTS_SERVING_LOAD_REPLAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/target_load_report.h"

namespace hornbeamcleat {

/// Load that many VMs place on the targets of one service.
struct LoadReplayOptions {
  int vms = 30;
  int domains = 3;
  int targets = 90;
  int slots = 8;
  int target_queue = 48;   ///< requests that wait at a target; more are refused
  bool is_engine = true;   ///< a first event long before the end of the answer
  double speed_ratio = 1;  ///< of the slowest target's work time to the fastest
  Duration first_event{0};  ///< at the fastest target
  Duration work{0};         ///< from the start in a slot to the end, likewise
  Duration objective{0};
  double per_second = 0;         ///< requests
  double arrival_spread = 1;     ///< 0: evenly spaced; 1: a Poisson process
  double slow_factor = 1;        ///< of work during a slow phase
  Duration slow_time{0};         ///< of each slow phase
  double slow_share = 0;         ///< of the time, each target independently
  double part_share = 1;         ///< of VMs that read load reports
  bool has_short_queues = true;  ///< at plain targets
  Duration length{0};
  std::uint32_t seed = 1;
  /// What a target states, given its true load; unset: the truth.
  std::function<std::optional<TargetLoadReport>(int target,
                                                const TargetLoadReport& load)>
      stated;
  /// Whether a target starts anew at this time; 0: never.
  Duration restart_at{0};
};

struct LoadReplayResult {
  int requests = 0;
  int late = 0;                ///< answered after the objective
  int refused = 0;             ///< by a VM
  int refused_at_targets = 0;  ///< as full
  double used_slots = 0;       ///< share of the slots' time
  std::vector<int> sent;       ///< by target
};

/// Runs the load balancers and wait queues of all VMs in virtual time, with the
/// delays of their messages but without a network.
LoadReplayResult ReplayLoad(const LoadReplayOptions& options);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_SERVING_LOAD_REPLAY_H_
