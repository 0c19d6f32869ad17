#ifndef HORNBEAMCLEAT_SRC_SERVING_TARGET_RUN_H_
#define HORNBEAMCLEAT_SRC_SERVING_TARGET_RUN_H_

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/hash.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/request_property.h"

namespace hornbeamcleat {

/// Run of a request at a target.
struct TargetRun {
  std::vector<RequestProperty> properties;  ///< of the request
  std::uint32_t target = 0;  ///< hash of the target's incarnation
  Time sent_at;

  /// @param incarnation identifies the target and its start
  static TargetRun Make(std::vector<RequestProperty> properties,
                        std::string_view incarnation, Time sent_at) {
    return {std::move(properties), Hash32(incarnation), sent_at};
  }

  bool operator==(const TargetRun&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_TARGET_RUN_H_
