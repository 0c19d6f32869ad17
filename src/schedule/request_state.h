#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_STATE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_STATE_H_

#include <cstdint>
#include <memory>

#include "hornbeamcleat/schedule/request.h"
#include "src/schedule/length_predictor.h"
#include "src/schedule/route.h"

namespace hornbeamcleat {

struct ModelState;
struct TargetState;

/// How far a request has come.
enum class Phase {
  kQueued,      ///< waits for a target
  kIntent,      ///< holds a slot while its intent is decided
  kDispatched,  ///< handed to a target; no byte is known to have been sent
  kSent,        ///< may have run
  kResuming,    ///< may have run; its answer is being asked for again
};

/// Open request.
struct RequestState {
  RequestSpec spec;
  std::shared_ptr<const Route> route;
  Time deadline;
  Duration allotted{0};  ///< from submission to deadline
  Phase phase = Phase::kQueued;
  bool prefers_new = false;  ///< the share of its move chose the new version
  bool intent_held = false;
  int attempts = 0;
  TargetState* target = nullptr;
  std::uint32_t parts = 0;
  Time dispatched;
  Time last_progress;
  Duration stall_wait{0};
  Time last_parts;  ///< when parts were last received
  ModelState* model = nullptr;
  LengthEstimate length;
  bool suspect = false;   ///< its content was there when a target crashed
  bool hopeless = false;  ///< no target could finish it in time, even idle
  bool overdue = false;   ///< likely to miss its deadline, not refused yet
  bool on_new = false;    ///< counted against the cap of a move
  bool lost_connection = false;
  double predicted_wait = 0;  ///< seconds, on arrival
  double cost = 1;    ///< expected service time in seconds on a usual target
  Time start_goal;    ///< orders the requests of a workspace
  Time latest_start;  ///< dispatched later, it would miss its deadline
  std::uint64_t sequence = 0;  ///< order of submission
  Time timer;                  ///< when it is looked at again
  Time armed = Time::max();    ///< earliest entry among the timers
  bool queued = false;         ///< is in a queue
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_STATE_H_
