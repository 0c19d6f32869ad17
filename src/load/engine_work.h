#ifndef HORNBEAMCLEAT_SRC_LOAD_ENGINE_WORK_H_
#define HORNBEAMCLEAT_SRC_LOAD_ENGINE_WORK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Work that the stand-in engines counted, all together.
struct EngineWork {
  std::int64_t requests = 0;
  std::int64_t repeated_ids = 0;  ///< requests that came more than once
  std::int64_t prefill_tokens = 0;
  std::int64_t generated_tokens = 0;
  std::int64_t open = 0;  ///< requests that still run

  bool operator==(const EngineWork&) const = default;
};

/// Reads GET /stats of each engine; waits up to `longest` until none has open
/// requests. An engine that does not answer counts as nothing.
EngineWork ReadEngineWork(const std::vector<std::string>& engines,
                          Duration longest);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_ENGINE_WORK_H_
