#ifndef HORNBEAMCLEAT_SRC_ENTRY_LOOP_MESSAGE_H_
#define HORNBEAMCLEAT_SRC_ENTRY_LOOP_MESSAGE_H_

#include <string>
#include <variant>
#include <vector>

#include "hornbeamcleat/schedule/action.h"
#include "hornbeamcleat/schedule/event.h"
#include "hornbeamcleat/schedule/request.h"
#include "src/entry/traffic_counts.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {

/// A caller submitted a request.
struct SubmitMessage {
  RequestSpec request;
  std::string body;  ///< read by the control thread, away from the answers
};

/// Growth of the traffic thread's counters since the last message.
struct CountsMessage {
  TrafficCounts counts;
};

/// Take no new work from now on.
struct DrainMessage {};

/// To the control thread.
using ControlMessage =
    std::variant<SubmitMessage, RequestEvent, CountsMessage, DrainMessage>;

/// What callers are told about entries.
struct StandingMessage {
  std::vector<EntryAddress> entries;
  bool draining = false;

  bool operator==(const StandingMessage&) const = default;
};

/// To the traffic thread.
using TrafficMessage = std::variant<Actions, StandingMessage>;

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_LOOP_MESSAGE_H_
