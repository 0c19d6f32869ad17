#ifndef HORNBEAMCLEAT_SRC_LOAD_LOAD_RUNNER_H_
#define HORNBEAMCLEAT_SRC_LOAD_LOAD_RUNNER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/load/experiment.h"
#include "src/load/request_record.h"

namespace hornbeamcleat {

/// Where a run sends its requests.
struct LoadTargets {
  std::vector<std::string> entries;  ///< IP:PORT to begin with
  std::vector<std::string> engines;  ///< IP:PORT, for faults and /stats
  bool direct = false;               ///< send to the engines in turn instead
  bool progress = false;             ///< show progress on standard error

  bool operator==(const LoadTargets&) const = default;
};

/// What a run saw.
struct LoadResult {
  std::vector<RequestRecord> records;  ///< in order of intended time
  std::vector<std::uint32_t> gaps;     ///< between parts, in microseconds

  bool operator==(const LoadResult&) const = default;
};

/// Runs an experiment on the calling thread. Requests are sent at their
/// intended times whatever the answers do (open loop).
LoadResult RunLoad(const Experiment& experiment, const LoadTargets& targets);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_LOAD_RUNNER_H_
