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

/// A request submitted by a caller.
struct SubmitMessage {
  RequestSpec request;
  std::string body;  ///< parsed by the control thread so that answers are not
                     ///< delayed
};

/// Increments of the traffic thread's counters since the last message.
struct CountsMessage {
  TrafficCounts counts;
};

/// Starts the drain: the entry accepts no new requests.
struct DrainMessage {};

/// Message to the control thread.
using ControlMessage =
    std::variant<SubmitMessage, RequestEvent, CountsMessage, DrainMessage>;

/// Entries offered to callers, and whether this entry drains.
struct EntryListMessage {
  std::vector<EntryAddress> entries;
  bool draining = false;

  bool operator==(const EntryListMessage&) const = default;
};

/// Message to the traffic thread.
using TrafficMessage = std::variant<Actions, EntryListMessage>;

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_LOOP_MESSAGE_H_
