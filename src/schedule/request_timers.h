#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_TIMERS_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_TIMERS_H_

#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

#include "src/schedule/request_state.h"

namespace hornbeamcleat {

/// Keeps one timer for each open request. A timer that moves to a later time
/// keeps its heap entry and is reinserted when that entry is popped, so
/// progress, the most frequent update, leaves the heap as it is.
class RequestTimers {
 public:
  /// Sets the request's timer and replaces an earlier setting.
  void Set(RequestState* request, Time at);

  /// Removes the timer of a request that ended.
  void Cancel(const RequestState* request);

  /// Removes and returns a request whose timer has expired; nullptr if there is
  /// none.
  RequestState* PopDue(Time now);

 private:
  struct Entry {
    Time at;
    std::uint64_t sequence = 0;

    bool operator>(const Entry& other) const { return at > other.at; }
  };

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> heap_;
  std::unordered_map<std::uint64_t, RequestState*> live_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_TIMERS_H_
