#ifndef HORNBEAMCLEAT_SRC_TRIAL_MOVE_TRIAL_H_
#define HORNBEAMCLEAT_SRC_TRIAL_MOVE_TRIAL_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/move/move_controller.h"

namespace hornbeamcleat {

/// What is wrong with the new version of a trial.
enum class FaultKind {
  kNone,
  kFailsAtOnce,         ///< half of all requests, from the start
  kFailsLate,           ///< three in ten, from an instant before growth on
  kSlow,                ///< twice the first-part time and gaps
  kSlowUnderLoad,       ///< three times, on targets half loaded or more
  kOneRoute,            ///< half of the requests of one route
  kOneInFifty,          ///< one in fifty on every route
  kOneInFiftyOneRoute,  ///< one in fifty on one route
  kFailsInBake,         ///< three in ten, from an instant in the bake on
};
inline constexpr int kFaultKinds = 9;

/// What else goes wrong during a trial.
enum class Disturbance {
  kNone,
  kLeaderPause,   ///< 1 to 10 minutes
  kLogOutage,     ///< 1 to 15 minutes
  kEntryKills,    ///< three entries with their control daemons, one by one
  kAll,           ///< the three above together
  kLogDownAtEnd,  ///< from some instant to after the deadline
};
inline constexpr int kDisturbances = 6;

/// Name for tables, e.g. "one in fifty".
const char* FaultKindName(FaultKind kind);
const char* DisturbanceName(Disturbance disturbance);

/// One move in virtual time.
struct TrialSpec {
  FaultKind fault = FaultKind::kNone;
  Disturbance disturbance = Disturbance::kNone;
  std::uint64_t seed = 1;
  double rate = 60;  ///< requests a second of the model, on average
  Duration window = std::chrono::hours(2);  ///< from acceptance to deadline
  Duration bake_time = std::chrono::minutes(10);
  bool fixed_steps = false;  ///< the baseline: 10, 50, 100% by time

  bool operator==(const TrialSpec&) const = default;
};

/// What became of it.
struct TrialResult {
  /// At the deadline. A version that every live entry knows as withdrawn counts
  /// as rolled back, also when the log is down and the record still to come.
  MovePhase end = MovePhase::kLoading;
  bool recorded = false;  ///< the end stood in the log by the deadline
  std::string reason;
  Duration duration{0};           ///< from acceptance
  std::uint64_t requests = 0;     ///< of the model until the move's end
  std::uint64_t fresh = 0;        ///< of these, dispatched to the new version
  std::uint64_t after_fault = 0;  ///< of these, since its fault began
  /// Dispatched to the new version later than 1 s after the withdrawal.
  std::uint64_t after_withdrawal = 0;
  bool withdrawn = false;

  bool operator==(const TrialResult&) const = default;
};

/// Runs one trial; equal specs give equal results.
TrialResult RunTrial(const TrialSpec& spec);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_MOVE_TRIAL_H_
