#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_STATE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_STATE_H_

#include <cstdint>
#include <memory>

#include "hornbeamcleat/schedule/request.h"
#include "src/schedule/crash_tracker.h"
#include "src/schedule/length_predictor.h"
#include "src/schedule/route.h"
#include "src/serving/target_run.h"

namespace hornbeamcleat {

struct ModelState;
struct TargetState;

/// Phase of a request.
enum class Phase {
  kQueued,           ///< waits for a target
  kRecordingIntent,  ///< holds a credit while its intent is recorded
  kDispatched,       ///< dispatched to a target; no byte is known to be sent
  kSent,             ///< may have run
  kResuming,         ///< may have run; its answer is being resumed
};

/// State of a request that has not ended.
struct RequestState {
  RequestSpec spec;
  std::shared_ptr<const Route> route;
  Time deadline;
  Duration time_budget{0};  ///< from submission to deadline
  Phase phase = Phase::kQueued;
  bool prefers_new_version = false;  ///< selected by the share of its move
  bool intent_held = false;
  int attempts = 0;
  TargetState* target = nullptr;
  std::uint32_t parts = 0;
  Time dispatched_at;
  Time last_progress;
  Duration stall_timeout{0};
  Time last_parts_at;
  ModelState* model = nullptr;
  LengthEstimate length;
  bool suspect = false;  ///< targets were lost with requests like it
  CrashTracker::Verdict verdict = CrashTracker::Verdict::kAccepted;
  TargetRun run;            ///< at its target, once it is sent
  Time began_at;            ///< when its answer began
  bool infeasible = false;  ///< no target could finish it in time, even idle
  bool overdue = false;     ///< past its latest start, but not refused yet
  bool on_new_version = false;  ///< counted against the cap of a move
  bool lost_connection = false;
  double predicted_wait = 0;  ///< seconds, on arrival
  double cost = 1;    ///< expected service time in seconds on an average target
  Time start_goal;    ///< orders the requests of a workspace
  Time latest_start;  ///< a later dispatch would miss the deadline
  std::uint64_t sequence = 0;   ///< order of submission
  Time due_at;                  ///< when its timer expires
  Time armed_at = Time::max();  ///< earliest entry in the timer heap
  bool queued = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_STATE_H_
