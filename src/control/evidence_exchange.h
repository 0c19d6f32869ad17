#ifndef HORNBEAMCLEAT_SRC_CONTROL_EVIDENCE_EXCHANGE_H_
#define HORNBEAMCLEAT_SRC_CONTROL_EVIDENCE_EXCHANGE_H_

#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/config/config_state.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {

/// Models with a move in progress.
std::set<std::string> MovingModels(const ConfigState& config);

/// Splits the evidence for `models` into gossip values of bounded size.
std::vector<std::string> EvidenceChunks(const EvidenceReport& report,
                                        const std::set<std::string>& models);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_EVIDENCE_EXCHANGE_H_
