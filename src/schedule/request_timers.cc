#include "src/schedule/request_timers.h"

namespace hornbeamcleat {

void RequestTimers::Set(RequestState* request, Time at) {
  request->due_at = at;
  if (at >= request->armed_at) {
    return;
  }
  if (request->armed_at == Time::max()) {
    live_[request->sequence] = request;
  }
  request->armed_at = at;
  heap_.push({at, request->sequence});
}

void RequestTimers::Cancel(const RequestState* request) {
  live_.erase(request->sequence);
}

RequestState* RequestTimers::PopDue(Time now) {
  while (!heap_.empty() && heap_.top().at <= now) {
    const Entry entry = heap_.top();
    heap_.pop();
    const auto it = live_.find(entry.sequence);
    if (it == live_.end() || it->second->armed_at != entry.at) {
      continue;
    }
    RequestState* request = it->second;
    request->armed_at = Time::max();
    if (request->due_at <= now) {
      return request;
    }
    Set(request, request->due_at);
  }
  return nullptr;
}

}  // namespace hornbeamcleat
