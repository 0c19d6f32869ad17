#include "src/schedule/request_timers.h"

namespace hornbeamcleat {

void RequestTimers::Set(RequestState* request, Time at) {
  request->timer = at;
  if (at >= request->armed) {
    return;
  }
  if (request->armed == Time::max()) {
    live_[request->sequence] = request;
  }
  request->armed = at;
  heap_.push({at, request->sequence});
}

void RequestTimers::Drop(const RequestState* request) {
  live_.erase(request->sequence);
}

RequestState* RequestTimers::PopDue(Time now) {
  while (!heap_.empty() && heap_.top().at <= now) {
    const Entry entry = heap_.top();
    heap_.pop();
    const auto it = live_.find(entry.sequence);
    if (it == live_.end() || it->second->armed != entry.at) {
      continue;
    }
    RequestState* request = it->second;
    request->armed = Time::max();
    if (request->timer <= now) {
      return request;
    }
    Set(request, request->timer);
  }
  return nullptr;
}

}  // namespace hornbeamcleat
