#ifndef HORNBEAMCLEAT_MOVE_MOVE_ADMISSION_H_
#define HORNBEAMCLEAT_MOVE_MOVE_ADMISSION_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/config/resource.h"

namespace hornbeamcleat {

/// What it takes to bring a version to the targets of a move.
struct LoadPlan {
  int targets = 0;                ///< replicas that must load the version
  std::int64_t weight_bytes = 0;  ///< of one replica
  /// Of the weight store, all loads together; 0 means that nothing is loaded.
  std::int64_t store_bytes_per_second = 0;

  bool operator==(const LoadPlan&) const = default;
};

/// Answer to a move that an operator declares.
struct MoveAdmission {
  bool admitted = false;
  WallTime earliest_deadline;  ///< the least that would be admitted
  std::string reason;          ///< of a refusal, one sentence

  bool operator==(const MoveAdmission&) const = default;
};

/// Time for one replica to load the version when it has the store to itself.
Duration LoadTime(const LoadPlan& plan);

/// Decides at `now` whether `spec` can be done by its deadline, with time left
/// to take it back.
MoveAdmission AdmitMove(const MoveSpec& spec, WallTime now,
                        const LoadPlan& plan);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_MOVE_ADMISSION_H_
