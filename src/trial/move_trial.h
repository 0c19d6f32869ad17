#ifndef HORNBEAMCLEAT_SRC_TRIAL_MOVE_TRIAL_H_
#define HORNBEAMCLEAT_SRC_TRIAL_MOVE_TRIAL_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/move/move_controller.h"

namespace hornbeamcleat {

/// Fault of the new version in a trial.
enum class FaultKind {
  kNone,
  kFailsAtOnce,         ///< half of all requests fail, from the start
  kFailsLate,           ///< three in ten fail, from a time in the first share
  kSlow,                ///< twice the first-part time and gaps
  kSlowUnderLoad,       ///< three times, on targets at half load or more
  kOneRoute,            ///< half of the requests of one route fail
  kOneInFifty,          ///< one in fifty fails on every route
  kOneInFiftyOneRoute,  ///< one in fifty fails on one route
  kFailsInBake,         ///< three in ten fail, from a time in the bake
};
inline constexpr int kFaultKinds = 9;

/// Infrastructure fault injected during a trial.
enum class Disturbance {
  kNone,
  kLeaderPause,   ///< the lease holder is paused for 1 to 10 minutes
  kLogOutage,     ///< the log is down for 1 to 15 minutes
  kEntryKills,    ///< three kills of an entry with its control daemon
  kAll,           ///< the three above together
  kLogDownAtEnd,  ///< the log is down until after the deadline
};
inline constexpr int kDisturbances = 6;

/// Display name, e.g. "one in fifty".
const char* FaultKindName(FaultKind kind);
const char* DisturbanceName(Disturbance disturbance);

/// Parameters of a simulated move in virtual time.
struct TrialSpec {
  FaultKind fault = FaultKind::kNone;
  Disturbance disturbance = Disturbance::kNone;
  std::uint64_t seed = 1;
  double rate = 60;  ///< mean requests per second of the model
  Duration window = std::chrono::hours(2);  ///< from acceptance to deadline
  Duration bake_time = std::chrono::minutes(10);
  bool fixed_steps = false;  ///< baseline: 10, 50, 100% on a fixed schedule

  bool operator==(const TrialSpec&) const = default;
};

/// Result of a simulated move.
struct TrialResult {
  /// Phase at the deadline. A version counts as rolled back once every entry
  /// has learned of its withdrawal, even if the log is down and the record is
  /// still missing.
  MovePhase end = MovePhase::kLoading;
  bool recorded = false;  ///< whether the log had the end by the deadline
  std::string reason;
  Duration duration{0};           ///< from acceptance to the end
  std::uint64_t requests = 0;     ///< requests of the model during the move
  std::uint64_t fresh = 0;        ///< requests sent to the new version
  std::uint64_t after_fault = 0;  ///< those sent after its fault began
  /// Requests sent to the new version later than 1 s after the withdrawal.
  std::uint64_t after_withdrawal = 0;
  bool withdrawn = false;

  bool operator==(const TrialResult&) const = default;
};

/// Runs one trial. Deterministic: equal specs give equal results.
TrialResult RunTrial(const TrialSpec& spec);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_MOVE_TRIAL_H_
