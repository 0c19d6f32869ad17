#ifndef HORNBEAMCLEAT_SRC_CONTROL_API_JSON_H_
#define HORNBEAMCLEAT_SRC_CONTROL_API_JSON_H_

#include <string>

#include "hornbeamcleat/config/config_state.h"
#include "src/control/control_core.h"

namespace hornbeamcleat {

/// JSON of a resource with its status.
std::string ResourceWithStatus(const Resource& resource,
                               const ConfigState& config);

/// All resources of `kind`: {"revision":N,"items":[...]}.
std::string ResourceList(const std::string& kind, const ConfigState& config);

/// {"revision","ready","logAvailable","entryConnected","leaseHolder",
/// "members":[...],"withdrawn":[...]}.
std::string StatusJson(const ControlStatus& status);

/// RFC 9457 problem body.
/// @param version current resource version on a conflict; omitted if 0
std::string ProblemJson(int status, const std::string& title,
                        const std::string& detail, std::uint64_t version = 0);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_API_JSON_H_
