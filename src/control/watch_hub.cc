#include "src/control/watch_hub.h"

#include <fmt/format.h>

#include <chrono>

#include "src/control/api_json.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxEvents = 10'000;
constexpr std::size_t kMaxBytes = 16 * 1024 * 1024;
constexpr std::size_t kMaxEventsPerRead = 500;

std::string ObjectOf(const ConfigChange& change, const ConfigState& config) {
  const Resource* resource = config.Find(change.kind, change.name);
  if (change.deleted || resource == nullptr) {
    return fmt::format(
        R"({{"kind":"{}","metadata":{{"name":"{}","resourceVersion":{}}}}})",
        change.kind, change.name, change.revision);
  }
  return ResourceWithStatus(*resource, config);
}

const char* TypeName(WatchEventType type) {
  switch (type) {
    case WatchEventType::kPut:
      return "PUT";
    case WatchEventType::kDelete:
      return "DELETE";
    case WatchEventType::kBookmark:
      return "BOOKMARK";
  }
  return "BOOKMARK";
}

std::string EventsJson(const std::vector<WatchEvent>& events) {
  std::string out = "[";
  for (const WatchEvent& event : events) {
    out += out.size() > 1 ? "," : "";
    out += fmt::format(R"({{"type":"{}","revision":{})", TypeName(event.type),
                       event.revision);
    if (event.type != WatchEventType::kBookmark) {
      out += fmt::format(R"(,"object":{})", event.object);
    }
    out += "}";
  }
  return out + "]";
}

}  // namespace

WatchHub::WatchHub() : buffer_(kMaxEvents, kMaxBytes) {}

void WatchHub::Publish(const std::shared_ptr<const ConfigState>& config,
                       const ConfigUpdate& update) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    config_ = config;
    if (update.reset) {
      buffer_.Reset(config->revision);
    }
    for (const ConfigChange& change : update.changes) {
      buffer_.Add(
          {change.deleted ? WatchEventType::kDelete : WatchEventType::kPut,
           change.revision, change.kind, change.name,
           ObjectOf(change, *config)});
    }
    buffer_.Advance(config->revision);
  }
  changed_.notify_all();
}

std::shared_ptr<const ConfigState> WatchHub::Config() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return config_;
}

WatchResult WatchHub::Wait(std::uint64_t from, Duration wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, wait, [this, from] {
    return closed_ || (config_ != nullptr && buffer_.Revision() > from);
  });
  const WatchRead read = buffer_.Read(from, kMaxEventsPerRead);
  return {read.compacted, EventsJson(read.events), read.next};
}

void WatchHub::Close() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
  }
  changed_.notify_all();
}

}  // namespace hornbeamcleat
