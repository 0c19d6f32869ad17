#ifndef HORNBEAMCLEAT_SRC_STANDIN_ENGINE_FAULTS_H_
#define HORNBEAMCLEAT_SRC_STANDIN_ENGINE_FAULTS_H_

#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Faults of a simulated engine, set by POST /faults.
struct EngineFaults {
  double slow_factor = 1;    ///< of each step, >= 1
  double fail_ratio = 0;     ///< of requests answered 500, 0 to 1
  std::string only_version;  ///< slow and fail only under it; empty: any
  std::string only_route;    ///< fail only on this path; empty: any
  std::int64_t only_above_running = 0;  ///< slow and fail only above this load
  std::int64_t fail_after_parts = 0;    ///< 0: status 500; else cut the stream
  std::string crash_marker;             ///< content that ends the process
  bool refuse = false;                  ///< answer "not run" to all requests
  bool leaving = false;                 ///< refuse, and say so in /load
  Duration freeze = Duration(0);        ///< do nothing at all once, so long
  bool silence = false;                 ///< write no more on streams open now

  bool operator==(const EngineFaults&) const = default;
};

/// `faults` with the members of the JSON text changed. `freeze` and `silence`
/// hold for one call only.
/// @throws Error with step "parse JSON"
EngineFaults ChangeFaults(const EngineFaults& faults, std::string_view json);

/// Whether the conditions on version and load hold.
bool FaultsApply(const EngineFaults& faults, const std::string& version,
                 std::size_t running);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_FAULTS_H_
