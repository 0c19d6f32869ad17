#ifndef HORNBEAMCLEAT_SERVING_TARGET_LOAD_REPORT_H_
#define HORNBEAMCLEAT_SERVING_TARGET_LOAD_REPORT_H_

#include <cstdint>
#include <optional>

namespace hornbeamcleat {

/// Load that a target states in the head of a response.
struct TargetLoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes at present, relative to the usual; nullopt: not
  /// stated.
  std::optional<double> work_time;

  bool operator==(const TargetLoadReport&) const = default;
};

/// Load report that a VM forwards to its near peers.
struct ForwardedLoadReport {
  std::uint16_t start = 0;  ///< tells starts of the target apart
  std::uint32_t age_ms = 0;
  float work_time = 0;  ///< as in TargetLoadReport; 0: not stated
  /// Requests at the target that are neither the VM's nor its near peers'; at
  /// most kMaxOthers. nullopt: not known.
  std::optional<std::uint32_t> others = std::nullopt;

  static constexpr std::uint32_t kMaxOthers = 254;

  bool operator==(const ForwardedLoadReport&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_TARGET_LOAD_REPORT_H_
