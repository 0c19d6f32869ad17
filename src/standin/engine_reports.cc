#include "src/standin/engine_reports.h"

#include <fmt/format.h>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxEvents = 50'000;
constexpr std::size_t kMaxAnswer = 2'000;  // events per response

}  // namespace

EngineReports::EngineReports(Duration load_lag, Duration event_lag,
                             std::int64_t drop_every)
    : load_lag_(load_lag), event_lag_(event_lag), drop_every_(drop_every) {}

void EngineReports::TakeLoad(const EngineLoad& load, Time now) {
  if (has_load_ && now - load_time_ < load_lag_) {
    return;
  }
  load_ = load;
  load_time_ = now;
  has_load_ = true;
}

void EngineReports::TakeEvents(const std::vector<CacheEvent>& events,
                               Time now) {
  for (const CacheEvent& event : events) {
    const std::int64_t n = static_cast<std::int64_t>(event.sequence);
    if (drop_every_ > 0 && n % drop_every_ == 0) {
      continue;
    }
    events_.push_back({event, now + event_lag_});
  }
  while (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

std::string EngineReports::FormatLoad(Time now) const {
  SerializationInfo value;
  value.addValue("running", static_cast<std::uint64_t>(load_.running));
  value.addValue("waiting", static_cast<std::uint64_t>(load_.waiting));
  value.addValue("kvUsedRatio", load_.kv_used_ratio);
  value.addValue("leaving", load_.leaving);
  value.addValue("version", load_.version);
  value.addValue("ageMs",
                 static_cast<std::int64_t>((now - load_time_).count() / 1000));
  return FormatJson(value);
}

std::string EngineReports::FormatEvents(std::uint64_t from, Time now) const {
  SerializationInfo value;
  SerializationInfo& list = value.addMember("events");
  list.setCategory(SerializationInfo::Array);
  std::size_t n = 0;
  for (const DatedEvent& each : events_) {
    if (each.visible > now || n == kMaxAnswer) {
      break;
    }
    if (each.event.sequence < from) {
      continue;
    }
    SerializationInfo& entry = list.addMember();
    entry.setCategory(SerializationInfo::Object);
    entry.addValue("sequence", each.event.sequence);
    entry.addValue("stored", each.event.stored);
    entry.addValue("block", fmt::format("{:016x}", each.event.block));
    ++n;
  }
  return FormatJson(value);
}

}  // namespace hornbeamcleat
