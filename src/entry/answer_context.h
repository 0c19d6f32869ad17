#ifndef HORNBEAMCLEAT_SRC_ENTRY_ANSWER_CONTEXT_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ANSWER_CONTEXT_H_

#include <cstdint>
#include <unordered_map>

#include "hornbeamcleat/base/clock.h"
#include "src/entry/entry_options.h"
#include "src/entry/loop_message.h"
#include "src/entry/traffic_counts.h"
#include "src/net/caller_front.h"
#include "src/net/mailbox.h"
#include "src/net/target_client.h"

namespace hornbeamcleat {

class Answer;

/// State shared by all answers of a traffic thread.
struct AnswerContext {
  const EntryOptions* options = nullptr;
  const Clock* clock = nullptr;
  CallerFront* front = nullptr;
  TargetClient* client = nullptr;
  Mailbox<ControlMessage>* control = nullptr;
  TrafficCounts counts;
  EntryListMessage entry_list;
  /// Answer that owns each open exchange with a target, by exchange handle.
  std::unordered_map<std::uint64_t, Answer*> answer_by_exchange;
  std::uint64_t last_exchange_handle = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ANSWER_CONTEXT_H_
