#ifndef HORNBEAMCLEAT_SRC_CONTROL_BLOCKING_CALLS_H_
#define HORNBEAMCLEAT_SRC_CONTROL_BLOCKING_CALLS_H_

#include <string>

#include "hornbeamcleat/base/settings.h"
#include "src/control/load_coordinator.h"

namespace hornbeamcleat {

/// Sends a GET request and returns the body of the response.
/// @param step name of the operation, for errors
/// @param token bearer token; not sent if empty
/// @throws Error with `step` and the peer if the status is not 200
std::string HttpGet(const std::string& step, const Address& peer,
                    const std::string& url, const std::string& token, bool tls);

/// Queries whether a target has loaded a version. Blocks.
/// @throws Error with step "query target"
LoadState QueryLoadState(const TargetQuery& target);

/// Sends a load or unload command to a target. Blocks. Success only means that
/// the target accepted the command; QueryLoadState tells its effect.
/// @throws Error with step "send load command"
void PostLoadCommand(const AddressedLoadCommand& addressed);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_BLOCKING_CALLS_H_
