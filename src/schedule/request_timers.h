#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_TIMERS_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_REQUEST_TIMERS_H_

#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

#include "src/schedule/request_state.h"

namespace hornbeamcleat {

/// One timer for each open request. A timer that moves to a later time keeps
/// its entry in the heap and is put back when that entry comes up, so the usual
/// case of progress costs nothing.
class RequestTimers {
 public:
  /// Sets the request's timer in place of an earlier setting.
  void Set(RequestState* request, Time at);

  /// Forgets a request that ended.
  void Drop(const RequestState* request);

  /// Takes a request whose time has come; nullptr if there is none.
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
