#ifndef HORNBEAMCLEAT_SRC_CONTROL_EVIDENCE_EXCHANGE_H_
#define HORNBEAMCLEAT_SRC_CONTROL_EVIDENCE_EXCHANGE_H_

#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/config/config_state.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {

/// Models that a move is under way for.
std::set<std::string> MovingModels(const ConfigState& config);

/// The part of `report` on the models given, in gossip values of a bounded size
/// each.
std::vector<std::string> EvidenceChunks(const EvidenceReport& report,
                                        const std::set<std::string>& models);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_EVIDENCE_EXCHANGE_H_
