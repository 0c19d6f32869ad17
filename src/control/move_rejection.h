#ifndef HORNBEAMCLEAT_SRC_CONTROL_MOVE_REJECTION_H_
#define HORNBEAMCLEAT_SRC_CONTROL_MOVE_REJECTION_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/config/config_state.h"

namespace hornbeamcleat {

/// Reason to reject a move at `now`; empty if it is acceptable or if `resource`
/// is not a move.
/// @param weight_bytes_per_second rate of the weight store; 0 means no limit
std::string MoveRejectionReason(const Resource& resource,
                                const ConfigState& config,
                                std::int64_t weight_bytes_per_second,
                                WallTime now);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_MOVE_REJECTION_H_
