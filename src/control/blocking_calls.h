#ifndef HORNBEAMCLEAT_SRC_CONTROL_BLOCKING_CALLS_H_
#define HORNBEAMCLEAT_SRC_CONTROL_BLOCKING_CALLS_H_

#include <string>

#include "hornbeamcleat/base/settings.h"
#include "src/control/load_coordinator.h"

namespace hornbeamcleat {

/// Body of an HTTP call that must be answered with status 200.
/// @param step name of the operation, for errors
/// @param token bearer token; empty sends none
/// @throws Error with `step` and the peer
std::string HttpGet(const std::string& step, const Address& peer,
                    const std::string& url, const std::string& token, bool tls);

/// Asks a target whether it has a version. Blocks.
/// @throws Error with step "observe target"
LoadState QueryLoadState(const TargetQuery& target);

/// Sends an order to a target. Blocks; the effect has to be read back.
/// @throws Error with step "order target"
void PostLoadCommand(const AddressedLoadCommand& addressed);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_BLOCKING_CALLS_H_
