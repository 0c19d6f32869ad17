#include "src/standin/engine_faults.h"

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxBody = 64 * 1024;  // bytes

}  // namespace

EngineFaults ChangeFaults(const EngineFaults& faults, std::string_view json) {
  const cxxtools::SerializationInfo value = ParseJson(json, kMaxBody);
  EngineFaults out = faults;
  out.slow_factor = JsonMember(value, "slowFactor", out.slow_factor);
  out.fail_ratio = JsonMember(value, "failRatio", out.fail_ratio);
  out.only_version = JsonMember(value, "onlyVersion", out.only_version);
  out.only_route = JsonMember(value, "onlyRoute", out.only_route);
  out.only_above_running =
      JsonMember(value, "onlyAboveRunning", out.only_above_running);
  out.fail_after_parts =
      JsonMember(value, "failAfterParts", out.fail_after_parts);
  out.crash_marker = JsonMember(value, "crashMarker", out.crash_marker);
  out.refuse = JsonMember(value, "refuse", out.refuse);
  out.leaving = JsonMember(value, "leaving", out.leaving);
  out.freeze =
      std::chrono::milliseconds(JsonMember<std::int64_t>(value, "freezeMs", 0));
  out.silence = JsonMember(value, "silence", false);
  return out;
}

bool FaultsApply(const EngineFaults& faults, const std::string& version,
                 std::size_t running) {
  const bool version_fits =
      faults.only_version.empty() || faults.only_version == version;
  return version_fits &&
         static_cast<std::int64_t>(running) >= faults.only_above_running;
}

}  // namespace hornbeamcleat
