#include "src/entry/target_watch.h"

#include <cxxtools/serializationinfo.h>

#include <charconv>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"
#include "src/net/target_client.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxReportBytes = 1024 * 1024;
constexpr int kStatusOk = 200;
constexpr int kHex = 16;
constexpr double kJitter = 0.2;  // of the period, either way

enum class ReadKind { kLoad, kCache };

// One repeated read of one target.
struct Reading {
  ReadKind kind = ReadKind::kLoad;
  TargetName target;
  std::string address;
  std::uint64_t handle = 0;  // 0 while no read is open
  int status = 0;
  std::string text;
  std::uint64_t next_sequence = 0;
  std::unique_ptr<TimerService::Subscription> timer;
};

std::uint64_t ParseHex(const std::string& text) {
  std::uint64_t n = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), n, kHex);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    throw Error("parse JSON", "", "a block is not hexadecimal");
  }
  return n;
}

class PollingTargetWatch : public TargetWatch, public TargetHandler {
 public:
  PollingTargetWatch(const EntryOptions& options, const Clock* clock,
                     TimerService* timers, TargetWatchHandler* handler)
      : options_(options),
        clock_(clock),
        timers_(timers),
        handler_(handler),
        random_(std::random_device()()),
        client_(TargetClient::Make(this)) {}

  void SetTargets(const ConfigState& config) override {
    std::map<Key, std::unique_ptr<Reading>> kept;
    for (const auto& [key, resource] : config.resources) {
      const TargetSpec* spec = std::get_if<TargetSpec>(&resource.spec);
      if (spec == nullptr) {
        continue;
      }
      Keep(resource.name, spec->address, ReadKind::kLoad, &kept);
      if (spec->kind == TargetKind::kEngine) {
        Keep(resource.name, spec->address, ReadKind::kCache, &kept);
      }
    }
    for (const auto& [key, reading] : readings_) {
      if (reading != nullptr) {
        GiveUp(reading.get());
      }
    }
    readings_ = std::move(kept);
  }

  int PollFd() const override { return client_->PollFd(); }
  Duration NextRun() const override { return client_->NextRun(); }
  void Run() override { client_->Run(); }
  std::uint64_t Failures() const override { return failures_; }

  void OnSending(std::uint64_t) override {}

  void OnHead(std::uint64_t handle, int status,
              const std::map<std::string, std::string>&) override {
    if (Reading* reading = Find(handle)) {
      reading->status = status;
    }
  }

  void OnBody(std::uint64_t handle, std::string_view bytes) override {
    Reading* reading = Find(handle);
    if (reading == nullptr) {
      return;
    }
    if (reading->text.size() + bytes.size() > kMaxReportBytes) {
      ++failures_;
      GiveUp(reading);
      return;
    }
    reading->text += bytes;
  }

  void OnEnd(std::uint64_t handle, TargetEnd end, const std::string&) override {
    Reading* reading = Find(handle);
    if (reading == nullptr) {
      return;
    }
    by_handle_.erase(handle);
    reading->handle = 0;
    if (end != TargetEnd::kComplete || reading->status != kStatusOk) {
      ++failures_;
      return;
    }
    try {
      Take(reading);
    } catch (const Error&) {
      ++failures_;
    }
  }

 private:
  // Readings of one target are told apart by kind; a changed address makes a
  // new one.
  using Key = std::tuple<TargetName, std::string, ReadKind>;

  void Keep(const TargetName& target, const std::string& address, ReadKind kind,
            std::map<Key, std::unique_ptr<Reading>>* kept) {
    const Key key(target, address, kind);
    const auto it = readings_.find(key);
    if (it != readings_.end()) {
      (*kept)[key] = std::move(it->second);
      return;
    }
    std::unique_ptr<Reading> reading = std::make_unique<Reading>();
    reading->kind = kind;
    reading->target = target;
    reading->address = address;
    // Spread over a period, so that targets added together are not read
    // together.
    std::uniform_real_distribution<double> share(0, 1);
    Schedule(reading.get(),
             FromSeconds(ToSeconds(Period(kind)) * share(random_)));
    (*kept)[key] = std::move(reading);
  }

  Duration Period(ReadKind kind) const {
    return kind == ReadKind::kLoad ? options_.load_period
                                   : options_.cache_period;
  }

  void Schedule(Reading* reading, Duration delay) {
    reading->timer = timers_->At(clock_->Now() + delay,
                                 [this, reading](Time) { Begin(reading); });
  }

  void Begin(Reading* reading) {
    if (reading->handle != 0) {
      ++failures_;
      GiveUp(reading);
    }
    reading->handle = ++last_handle_;
    reading->status = 0;
    reading->text.clear();
    by_handle_[reading->handle] = reading;
    TargetRequest request;
    request.handle = reading->handle;
    request.address = reading->address;
    request.method = "GET";
    request.path =
        reading->kind == ReadKind::kLoad
            ? "/load"
            : "/cache-events?from=" + std::to_string(reading->next_sequence);
    request.connect_timeout = options_.connect_timeout;
    client_->Begin(request);
    std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
    Schedule(reading,
             FromSeconds(ToSeconds(Period(reading->kind)) * jitter(random_)));
  }

  void GiveUp(Reading* reading) {
    if (reading->handle != 0) {
      by_handle_.erase(reading->handle);
      client_->Abort(reading->handle);
      reading->handle = 0;
    }
  }

  Reading* Find(std::uint64_t handle) {
    const auto it = by_handle_.find(handle);
    return it == by_handle_.end() ? nullptr : it->second;
  }

  void Take(Reading* reading) {
    if (reading->kind == ReadKind::kLoad) {
      handler_->OnLoadReport(
          ParseLoadReport(reading->target, reading->text, clock_->Now()));
      return;
    }
    const std::vector<CacheEvent> events = ParseCacheEvents(reading->text);
    if (!events.empty()) {
      reading->next_sequence = events.back().sequence + 1;
      handler_->OnCacheEvents(reading->target, events);
    }
  }

  EntryOptions options_;
  const Clock* clock_;
  TimerService* timers_;
  TargetWatchHandler* handler_;
  std::mt19937 random_;
  std::unique_ptr<TargetClient> client_;
  std::map<Key, std::unique_ptr<Reading>> readings_;
  std::unordered_map<std::uint64_t, Reading*> by_handle_;
  std::uint64_t last_handle_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace

LoadReport ParseLoadReport(const TargetName& target, std::string_view text,
                           Time received) {
  const cxxtools::SerializationInfo json = ParseJson(text, kMaxReportBytes);
  LoadReport report;
  report.target = target;
  report.received = received;
  report.running = JsonMember<int>(json, "running", 0);
  report.waiting = JsonMember<int>(json, "waiting", 0);
  report.kv_used_ratio = JsonMember<double>(json, "kvUsedRatio", 0);
  report.leaving = JsonMember<bool>(json, "leaving", false);
  return report;
}

std::vector<CacheEvent> ParseCacheEvents(std::string_view text) {
  const cxxtools::SerializationInfo json = ParseJson(text, kMaxReportBytes);
  std::vector<CacheEvent> events;
  const cxxtools::SerializationInfo* list = json.findMember("events");
  if (list == nullptr) {
    return events;
  }
  for (const cxxtools::SerializationInfo& item : *list) {
    CacheEvent event;
    event.sequence = RequiredJsonMember<std::uint64_t>(item, "sequence");
    event.stored = JsonMember<bool>(item, "stored", true);
    event.block = ParseHex(RequiredJsonMember<std::string>(item, "block"));
    events.push_back(event);
  }
  return events;
}

std::unique_ptr<TargetWatch> TargetWatch::Make(const EntryOptions& options,
                                               const Clock* clock,
                                               TimerService* timers,
                                               TargetWatchHandler* handler) {
  return std::make_unique<PollingTargetWatch>(options, clock, timers, handler);
}

}  // namespace hornbeamcleat
