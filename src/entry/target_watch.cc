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
constexpr double kJitter = 0.2;  // relative, plus or minus

enum class ReadKind { kLoad, kCache };

// A periodic read from one target.
struct PeriodicRead {
  ReadKind kind = ReadKind::kLoad;
  TargetName target;
  std::string address;
  std::uint64_t handle = 0;  // 0 if no read is open
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
    throw Error("parse JSON", "", "expected a hexadecimal block hash");
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
    std::map<Key, std::unique_ptr<PeriodicRead>> kept;
    for (const auto& [key, resource] : config.resources) {
      const TargetSpec* spec = std::get_if<TargetSpec>(&resource.spec);
      if (spec == nullptr) {
        continue;
      }
      AddRead(resource.name, spec->address, ReadKind::kLoad, &kept);
      if (spec->kind == TargetKind::kEngine) {
        AddRead(resource.name, spec->address, ReadKind::kCache, &kept);
      }
    }
    for (const auto& [key, read] : reads_) {
      if (read != nullptr) {
        AbortRead(read.get());
      }
    }
    reads_ = std::move(kept);
  }

  int PollFd() const override { return client_->PollFd(); }
  Duration NextRun() const override { return client_->NextRun(); }
  void Run() override { client_->Run(); }
  std::uint64_t Failures() const override { return failures_; }

  void OnSending(std::uint64_t) override {}

  void OnHead(std::uint64_t handle, int status,
              const std::map<std::string, std::string>&) override {
    if (PeriodicRead* read = Find(handle)) {
      read->status = status;
    }
  }

  void OnBody(std::uint64_t handle, std::string_view bytes) override {
    PeriodicRead* read = Find(handle);
    if (read == nullptr) {
      return;
    }
    if (read->text.size() + bytes.size() > kMaxReportBytes) {
      ++failures_;
      AbortRead(read);
      return;
    }
    read->text += bytes;
  }

  void OnEnd(std::uint64_t handle, TargetEnd end, const std::string&) override {
    PeriodicRead* read = Find(handle);
    if (read == nullptr) {
      return;
    }
    by_handle_.erase(handle);
    read->handle = 0;
    if (end != TargetEnd::kComplete || read->status != kStatusOk) {
      ++failures_;
      return;
    }
    try {
      HandleBody(read);
    } catch (const Error&) {
      ++failures_;
    }
  }

 private:
  // A target has one read of each kind; a change of its address replaces them.
  using Key = std::tuple<TargetName, std::string, ReadKind>;

  void AddRead(const TargetName& target, const std::string& address,
               ReadKind kind,
               std::map<Key, std::unique_ptr<PeriodicRead>>* kept) {
    const Key key(target, address, kind);
    const auto it = reads_.find(key);
    if (it != reads_.end()) {
      (*kept)[key] = std::move(it->second);
      return;
    }
    std::unique_ptr<PeriodicRead> read = std::make_unique<PeriodicRead>();
    read->kind = kind;
    read->target = target;
    read->address = address;
    // The first read has a random delay of up to one period, so that targets
    // added together are not all read at the same time.
    std::uniform_real_distribution<double> fraction(0, 1);
    Schedule(read.get(),
             FromSeconds(ToSeconds(Period(kind)) * fraction(random_)));
    (*kept)[key] = std::move(read);
  }

  Duration Period(ReadKind kind) const {
    return kind == ReadKind::kLoad ? options_.load_period
                                   : options_.cache_period;
  }

  void Schedule(PeriodicRead* read, Duration delay) {
    read->timer = timers_->At(clock_->Now() + delay,
                              [this, read](Time) { StartRead(read); });
  }

  void StartRead(PeriodicRead* read) {
    if (read->handle != 0) {
      ++failures_;
      AbortRead(read);
    }
    read->handle = ++last_handle_;
    read->status = 0;
    read->text.clear();
    by_handle_[read->handle] = read;
    TargetRequest request;
    request.handle = read->handle;
    request.address = read->address;
    request.method = "GET";
    request.path =
        read->kind == ReadKind::kLoad
            ? "/load"
            : "/cache-events?from=" + std::to_string(read->next_sequence);
    request.connect_timeout = options_.connect_timeout;
    client_->Begin(request);
    std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
    Schedule(read,
             FromSeconds(ToSeconds(Period(read->kind)) * jitter(random_)));
  }

  void AbortRead(PeriodicRead* read) {
    if (read->handle != 0) {
      by_handle_.erase(read->handle);
      client_->Abort(read->handle);
      read->handle = 0;
    }
  }

  PeriodicRead* Find(std::uint64_t handle) {
    const auto it = by_handle_.find(handle);
    return it == by_handle_.end() ? nullptr : it->second;
  }

  void HandleBody(PeriodicRead* read) {
    if (read->kind == ReadKind::kLoad) {
      handler_->OnLoadReport(
          ParseLoadReport(read->target, read->text, clock_->Now()));
      return;
    }
    const std::vector<CacheEvent> events = ParseCacheEvents(read->text);
    if (!events.empty()) {
      read->next_sequence = events.back().sequence + 1;
      handler_->OnCacheEvents(read->target, events);
    }
  }

  EntryOptions options_;
  const Clock* clock_;
  TimerService* timers_;
  TargetWatchHandler* handler_;
  std::mt19937 random_;
  std::unique_ptr<TargetClient> client_;
  std::map<Key, std::unique_ptr<PeriodicRead>> reads_;
  std::unordered_map<std::uint64_t, PeriodicRead*> by_handle_;
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
