#include "src/standin/fake_service.h"

#include <map>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxBody = 64 * 1024;  // bytes
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

struct Faults {
  std::int64_t lose_answer_every = 0;
  std::int64_t silent_every = 0;
  bool refuse = false;
  bool leaving = false;
  Duration delay = Duration(0);
};

void AddCounts(SerializationInfo* value, const std::string& name,
               const std::map<std::string, std::int64_t>& counts) {
  SerializationInfo& object = value->addMember(name);
  object.setCategory(SerializationInfo::Object);
  for (const auto& [key, n] : counts) {
    object.addValue(key, n);
  }
}

class FakeService : public Standin {
 public:
  explicit FakeService(const FakeServiceSettings& settings)
      : settings_(settings) {}

  void OnClosed(std::uint64_t handle, bool) override { held_.erase(handle); }

 protected:
  void Handle(const CallerRequest& request) override {
    if (request.method == "GET" && request.path == "/executions") {
      return AnswerJson(request.handle, kOk, Executions());
    }
    if (request.method == "GET" && request.path == "/load") {
      return AnswerJson(request.handle, kOk, Load());
    }
    if (request.method != "POST") {
      return AnswerJson(request.handle, kNotFound, "{}");
    }
    if (request.path == "/faults") {
      return SetFaults(request);
    }
    if (faults_.refuse || faults_.leaving) {
      return RefuseNotRun(request.handle);
    }
    RunRequest(request);
  }

 private:
  void SetFaults(const CallerRequest& request) {
    const SerializationInfo value = ParseJson(request.body, kMaxBody);
    faults_.lose_answer_every =
        JsonMember(value, "loseAnswerEvery", faults_.lose_answer_every);
    faults_.silent_every =
        JsonMember(value, "silentEvery", faults_.silent_every);
    faults_.refuse = JsonMember(value, "refuse", faults_.refuse);
    faults_.leaving = JsonMember(value, "leaving", faults_.leaving);
    const std::int64_t delay = JsonMember<std::int64_t>(value, "delayMs", -1);
    if (delay >= 0) {
      faults_.delay = std::chrono::milliseconds(delay);
    }
    AnswerJson(request.handle, kOk, "{}");
  }

  void RefuseNotRun(std::uint64_t handle) {
    CallerAnswer answer;
    answer.status = kUnavailable;
    answer.headers["Request-Outcome"] = "not_run";
    answer.headers["Retry-After-Ms"] = "200";
    answer.body = R"({"reason":"not run"})";
    Front().Answer(handle, answer);
  }

  void RunRequest(const CallerRequest& request) {
    const std::string key = HeaderValue(request, "idempotency-key");
    const std::string id = HeaderValue(request, "request-id");
    ++executions_;
    ++by_request_[id];
    if (!key.empty()) {
      ++by_key_[key];
    }
    if (IsEvery(faults_.lose_answer_every)) {
      return Front().Abandon(request.handle);
    }
    if (IsEvery(faults_.silent_every)) {
      return;
    }
    SerializationInfo value;
    value.addValue("id", id);
    value.addValue("version", settings_.version);
    value.addValue("execution", executions_);
    const std::string body = FormatJson(value);
    const std::uint64_t handle = request.handle;
    held_[handle] = Timers().At(
        Now() + settings_.answer_time + faults_.delay,
        [this, handle, body](Time) { AnswerJson(handle, kOk, body); });
  }

  bool IsEvery(std::int64_t n) const { return n > 0 && executions_ % n == 0; }

  std::string Executions() const {
    SerializationInfo value;
    value.addValue("executions", executions_);
    AddCounts(&value, "byKey", by_key_);
    AddCounts(&value, "byRequestId", by_request_);
    return FormatJson(value);
  }

  std::string Load() const {
    SerializationInfo value;
    value.addValue("running", static_cast<std::uint64_t>(held_.size()));
    value.addValue("waiting", 0);
    value.addValue("kvUsedRatio", 0.0);
    value.addValue("leaving", faults_.leaving);
    value.addValue("version", settings_.version);
    value.addValue("ageMs", 0);
    return FormatJson(value);
  }

  FakeServiceSettings settings_;
  Faults faults_;
  std::int64_t executions_ = 0;
  std::map<std::string, std::int64_t> by_key_;
  std::map<std::string, std::int64_t> by_request_;
  std::map<std::uint64_t, std::unique_ptr<TimerService::Subscription>> held_;
};

}  // namespace

std::unique_ptr<Standin> MakeFakeService(const FakeServiceSettings& settings) {
  return std::make_unique<FakeService>(settings);
}

}  // namespace hornbeamcleat
