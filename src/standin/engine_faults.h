#ifndef HORNBEAMCLEAT_SRC_STANDIN_ENGINE_FAULTS_H_
#define HORNBEAMCLEAT_SRC_STANDIN_ENGINE_FAULTS_H_

#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Fault injection settings of a simulated engine, set by POST /faults.
struct EngineFaults {
  double slow_factor = 1;    ///< multiplies step time, >= 1
  double fail_ratio = 0;     ///< share of 500 answers, 0 to 1
  std::string only_version;  ///< slow and fail only in it; empty: any
  std::string only_route;    ///< fail only on this path; empty: any
  std::int64_t only_above_running = 0;  ///< slow and fail only above this load
  std::int64_t fail_after_parts = 0;  ///< 0: status 500; else abort the stream
  std::string crash_marker;           ///< prompt text that crashes the process
  bool refuse = false;                ///< answer "not run" to every request
  bool leaving = false;               ///< refuse, and report it in /load
  Duration freeze = Duration(0);      ///< one stall of the whole engine
  bool silence = false;               ///< stop writing to the streams now open

  bool operator==(const EngineFaults&) const = default;
};

/// Returns `faults` updated with the members of the JSON text. `freeze` and
/// `silence` apply to a single call and are reset by the next.
/// @throws Error with step "parse JSON"
EngineFaults ChangeFaults(const EngineFaults& faults, std::string_view json);

/// Whether the version and load conditions are both met.
bool FaultsApply(const EngineFaults& faults, const std::string& version,
                 std::size_t running);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_FAULTS_H_
