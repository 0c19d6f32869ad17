#ifndef HORNBEAMCLEAT_MOVE_MOVE_ADMISSION_H_
#define HORNBEAMCLEAT_MOVE_MOVE_ADMISSION_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/config/resource.h"

namespace hornbeamcleat {

/// Cost of loading a version on the targets of a move.
struct LoadPlan {
  int targets = 0;                ///< replicas that must load the version
  std::int64_t weight_bytes = 0;  ///< size of one replica's weights
  /// Rate of the weight store, shared by all loads; 0 if nothing is loaded.
  std::int64_t store_bytes_per_second = 0;

  bool operator==(const LoadPlan&) const = default;
};

/// Result of the admission check of a move.
struct MoveAdmission {
  bool admitted = false;
  WallTime earliest_deadline;  ///< earliest deadline that would be admitted
  std::string reason;          ///< why the move was rejected, one sentence

  bool operator==(const MoveAdmission&) const = default;
};

/// Time for one replica to load the version at the full rate of the store.
Duration LoadTime(const LoadPlan& plan);

/// Decides at `now` whether `spec` can finish before its deadline with time
/// left to roll it back.
MoveAdmission AdmitMove(const MoveSpec& spec, WallTime now,
                        const LoadPlan& plan);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_MOVE_ADMISSION_H_
