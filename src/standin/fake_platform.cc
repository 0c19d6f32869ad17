#include "src/standin/fake_platform.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"
#include "src/standin/token_bucket.h"
#include "src/standin/weight_store.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxBody = 4 * 1024 * 1024;  // bytes
constexpr std::int64_t kDefaultRead = 1'000;       // records
constexpr double kAppendBurst = 50;                // calls
constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr char kLogPrefix[] = "/log/";
constexpr char kWeightsPrefix[] = "/weights/";
constexpr char kEmptyVms[] = "{\"vms\":[]}";

struct Faults {
  Time outage_until;
  std::int64_t lose_answer_every = 0;
  Duration delay = Duration(0);
};

// Long-poll read waiting for a record.
struct WaitingRead {
  std::uint64_t handle = 0;
  std::string stream;
  std::uint64_t from = 1;
  std::size_t max = 0;
  Time due;
};

struct DelayedAnswer {
  std::uint64_t handle = 0;
  int status = kOk;
  std::string body;
  Time due;
};

struct DatedVms {
  Time visible;
  std::string body;
};

std::string FormatRead(const LogRead& read) {
  SerializationInfo value;
  value.addValue("oldest", read.oldest);
  value.addValue("next", read.next);
  SerializationInfo& records = value.addMember("records");
  records.setCategory(SerializationInfo::Array);
  for (const LogRecord& record : read.records) {
    SerializationInfo& entry = records.addMember();
    entry.setCategory(SerializationInfo::Object);
    entry.addValue("offset", record.offset);
    entry.addValue("unixMs", static_cast<std::int64_t>(
                                 record.time.time_since_epoch().count()));
    entry.addValue("payload", record.payload);
  }
  return FormatJson(value);
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

class FakePlatform : public Standin {
 public:
  explicit FakePlatform(const FakePlatformSettings& settings)
      : settings_(settings),
        append_limit_(settings.appends_per_second, kAppendBurst),
        weights_(settings.weight_bytes_per_second) {}

  void OnClosed(std::uint64_t handle, bool) override {
    weights_.Remove(handle);
    std::erase_if(waiting_, [handle](const WaitingRead& each) {
      return each.handle == handle;
    });
    std::erase_if(delayed_, [handle](const DelayedAnswer& each) {
      return each.handle == handle;
    });
  }

 protected:
  void Started() override {
    vms_.push_back({Now(), kEmptyVms});
    tick_ = Timers().Every(Now(), kTick, [this](Time now) { Tick(now); });
  }

  void Handle(const CallerRequest& request) override {
    const bool post = request.method == "POST";
    if (post && request.path == "/faults") {
      return SetFaults(request);
    }
    if (post && request.path == "/vms") {
      ParseJson(request.body, kMaxBody);
      vms_.push_back({Now() + settings_.vm_lag, request.body});
      return AnswerJson(request.handle, kOk, "{}");
    }
    if (Now() < faults_.outage_until) {
      return AnswerJson(request.handle, kUnavailable, "{}");
    }
    if (StartsWith(request.path, kLogPrefix)) {
      return post ? Append(request) : Read(request);
    }
    if (request.path == "/vms") {
      return AnswerLater(request.handle, kOk, CurrentVms());
    }
    if (StartsWith(request.path, kWeightsPrefix)) {
      return weights_.Begin(
          request.handle, QueryNumber(request, "bytes", settings_.weight_bytes),
          &Front());
    }
    AnswerJson(request.handle, kNotFound, "{}");
  }

 private:
  void SetFaults(const CallerRequest& request) {
    const SerializationInfo value = ParseJson(request.body, kMaxBody);
    const std::int64_t outage = JsonMember<std::int64_t>(value, "outageMs", -1);
    if (outage >= 0) {
      faults_.outage_until = Now() + std::chrono::milliseconds(outage);
    }
    faults_.lose_answer_every =
        JsonMember(value, "loseAnswerEvery", faults_.lose_answer_every);
    faults_.delay = ReadMs(value, "delayMs", faults_.delay);
    settings_.vm_lag = ReadMs(value, "vmLagMs", settings_.vm_lag);
    settings_.retention.age =
        ReadMs(value, "retainMs", settings_.retention.age);
    settings_.retention.records = JsonMember<std::uint64_t>(
        value, "retainRecords", settings_.retention.records);
    AnswerJson(request.handle, kOk, "{}");
  }

  static Duration ReadMs(const SerializationInfo& value,
                         const std::string& name, Duration fallback) {
    const std::int64_t ms = JsonMember<std::int64_t>(value, name, -1);
    return ms < 0 ? fallback : Duration(std::chrono::milliseconds(ms));
  }

  void Append(const CallerRequest& request) {
    const SerializationInfo value = ParseJson(request.body, kMaxBody);
    const SerializationInfo* list = value.findMember("payloads");
    if (list == nullptr) {
      throw Error("append", "", "member 'payloads' is missing");
    }
    if (!append_limit_.Take(1, Now())) {
      return AnswerJson(request.handle, kUnavailable,
                        R"({"reason":"rate_limited"})");
    }
    std::vector<std::string> payloads;
    for (const SerializationInfo& entry : *list) {
      if (entry.category() != SerializationInfo::Value) {
        throw Error("append", "", "a payload is not text");
      }
      std::string& payload = payloads.emplace_back();
      entry.getValue(payload);
    }
    const std::string stream =
        request.path.substr(std::string(kLogPrefix).size());
    const std::uint64_t first =
        log_.Append(stream, payloads, WallNow(), settings_.retention);
    ServeWaiting(stream);
    AnswerAppend(request.handle, first);
  }

  void AnswerAppend(std::uint64_t handle, std::uint64_t first) {
    ++appends_;
    if (faults_.lose_answer_every > 0 &&
        appends_ % faults_.lose_answer_every == 0) {
      return AnswerLater(handle, kServerError, R"({"reason":"lost"})");
    }
    SerializationInfo answer;
    answer.addValue("offset", first);
    AnswerLater(handle, kOk, FormatJson(answer));
  }

  void Read(const CallerRequest& request) {
    WaitingRead read;
    read.handle = request.handle;
    read.stream = request.path.substr(std::string(kLogPrefix).size());
    read.from = static_cast<std::uint64_t>(QueryNumber(request, "from", 1));
    read.max =
        static_cast<std::size_t>(QueryNumber(request, "max", kDefaultRead));
    read.due =
        Now() + std::chrono::milliseconds(QueryNumber(request, "waitMs", 0));
    if (!Serve(read)) {
      waiting_.push_back(read);
    }
  }

  // Answers `read` if a record is available or its wait time has expired.
  bool Serve(const WaitingRead& read) {
    const LogRead found = log_.Read(read.stream, read.from, read.max, WallNow(),
                                    settings_.retention);
    if (found.records.empty() && Now() < read.due) {
      return false;
    }
    AnswerLater(read.handle, kOk, FormatRead(found));
    return true;
  }

  void ServeWaiting(const std::string& stream) {
    std::erase_if(waiting_, [this, &stream](const WaitingRead& each) {
      return each.stream == stream && Serve(each);
    });
  }

  void AnswerLater(std::uint64_t handle, int status, std::string body) {
    if (faults_.delay == Duration(0)) {
      return AnswerJson(handle, status, body);
    }
    delayed_.push_back(
        {handle, status, std::move(body), Now() + faults_.delay});
  }

  std::string CurrentVms() {
    while (vms_.size() > 1 && vms_[1].visible <= Now()) {
      vms_.erase(vms_.begin());
    }
    return vms_.front().body;
  }

  void Tick(Time now) {
    if (!weights_.Idle()) {
      weights_.Pump(now, &Front());
    }
    if (now < faults_.outage_until) {
      RefuseWaiting();
    }
    std::erase_if(waiting_, [this, now](const WaitingRead& each) {
      return each.due <= now && Serve(each);
    });
    std::erase_if(delayed_, [this, now](const DelayedAnswer& each) {
      if (each.due > now) {
        return false;
      }
      AnswerJson(each.handle, each.status, each.body);
      return true;
    });
  }

  void RefuseWaiting() {
    const std::vector<WaitingRead> refused = std::exchange(waiting_, {});
    for (const WaitingRead& each : refused) {
      AnswerJson(each.handle, kUnavailable, "{}");
    }
  }

  FakePlatformSettings settings_;
  Faults faults_;
  LogStore log_;
  TokenBucket append_limit_;
  WeightStore weights_;
  std::int64_t appends_ = 0;
  std::vector<WaitingRead> waiting_;
  std::vector<DelayedAnswer> delayed_;
  std::vector<DatedVms> vms_;  ///< oldest first; GET /vms returns the first
  std::unique_ptr<TimerService::Subscription> tick_;
};

}  // namespace

std::unique_ptr<Standin> MakeFakePlatform(
    const FakePlatformSettings& settings) {
  return std::make_unique<FakePlatform>(settings);
}

}  // namespace hornbeamcleat
