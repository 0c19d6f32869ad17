#include "src/standin/fake_engine.h"

#include <algorithm>
#include <random>
#include <thread>
#include <vector>

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"
#include "src/standin/completion_request.h"
#include "src/standin/engine_faults.h"
#include "src/standin/engine_reports.h"
#include "src/standin/engine_stats.h"
#include "src/standin/engine_streams.h"
#include "src/standin/engine_versions.h"

namespace hornbeamcleat {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr char kStreamsPrefix[] = "/v1/streams/";
constexpr char kRunPrefix[] = "/v1/";
constexpr char kRetryAfterMs[] = "200";
constexpr Duration kHousekeeping = std::chrono::milliseconds(50);
constexpr Duration kFreezeDelay = std::chrono::milliseconds(20);
constexpr double kFullBatch = 256;  // concurrent streams that fill the KV cache

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

class FakeEngine : public Standin {
 public:
  explicit FakeEngine(const FakeEngineSettings& settings)
      : settings_(settings),
        batch_(settings.speed),
        versions_(settings.model, settings.version, settings.weight_store,
                  settings.checks_fencing),
        reports_(settings.load_lag, settings.event_lag,
                 settings.event_drop_every),
        random_(settings.seed) {}

  void OnClosed(std::uint64_t handle, bool) override {
    streams_.Close(handle, Now());
  }

 protected:
  void Started() override {
    housekeeping_ = Timers().Every(Now(), kHousekeeping,
                                   [this](Time now) { KeepHouse(now); });
  }

  void Handle(const CallerRequest& request) override {
    if (StartsWith(request.path, kStreamsPrefix)) {
      return HandleStream(request);
    }
    if (request.method == "POST") {
      return HandlePost(request);
    }
    if (request.path == "/load") {
      AnswerJson(request.handle, kOk, reports_.FormatLoad(Now()));
    } else if (request.path == "/cache-events") {
      const std::int64_t from = QueryNumber(request, "from", 1);
      AnswerJson(
          request.handle, kOk,
          reports_.FormatEvents(static_cast<std::uint64_t>(from), Now()));
    } else if (request.path == "/admin/state") {
      AnswerJson(request.handle, kOk, versions_.State());
    } else if (request.path == "/stats") {
      AnswerJson(request.handle, kOk,
                 stats_.Format(batch_.Running() + batch_.Waiting()));
    } else {
      AnswerJson(request.handle, kNotFound, "{}");
    }
  }

 private:
  void HandlePost(const CallerRequest& request) {
    if (request.path == "/faults") {
      SetFaults(request);
    } else if (request.path == "/admin/load") {
      AnswerOrder(request, versions_.Load(request.body));
    } else if (request.path == "/admin/unload") {
      AnswerOrder(request, versions_.Unload(request.body));
    } else if (StartsWith(request.path, kRunPrefix)) {
      RunRequest(request);
    } else {
      AnswerJson(request.handle, kNotFound, "{}");
    }
  }

  void AnswerOrder(const CallerRequest& request, bool taken) {
    AnswerJson(request.handle, taken ? kOk : kConflict, versions_.State());
  }

  void SetFaults(const CallerRequest& request) {
    faults_ = ChangeFaults(faults_, request.body);
    if (faults_.silence) {
      streams_.Silence();
    }
    if (faults_.freeze > Duration(0)) {
      const Duration length = faults_.freeze;
      freeze_ = Timers().At(Now() + kFreezeDelay, [length](Time) {
        std::this_thread::sleep_for(length);
      });
    }
    AnswerJson(request.handle, kOk, "{}");
  }

  void RunRequest(const CallerRequest& request) {
    if (!faults_.crash_marker.empty() &&
        request.body.find(faults_.crash_marker) != std::string::npos) {
      settings_.crash();
      return Front().Abandon(request.handle);
    }
    if (faults_.refuse || faults_.leaving ||
        versions_.CurrentVersion().empty()) {
      return RefuseNotRun(request);
    }
    const std::string id = HeaderValue(request, "request-id");
    if (id.empty()) {
      throw Error("run", "", "header Request-Id is missing");
    }
    const CompletionRequest completion = ParseCompletion(request.body);
    stats_.CountRequest(id);
    if (streams_.Find(id) != nullptr) {
      return AnswerJson(request.handle, kConflict,
                        R"({"reason":"request id is running"})");
    }
    const bool fails = DrawFailure(request.path);
    if (fails && faults_.fail_after_parts == 0) {
      stats_.CountFailedEarly();
      return AnswerJson(request.handle, kServerError,
                        R"({"reason":"engine failure"})");
    }
    Admit(request.handle, id, completion, fails ? faults_.fail_after_parts : 0);
  }

  void RefuseNotRun(const CallerRequest& request) {
    stats_.CountRefused();
    CallerAnswer answer;
    answer.status = kUnavailable;
    answer.headers["Request-Outcome"] = "not_run";
    answer.headers["Retry-After-Ms"] = kRetryAfterMs;
    answer.body = R"({"reason":"not run"})";
    Front().Answer(request.handle, answer);
  }

  bool DrawFailure(const std::string& path) {
    const bool route_fits =
        faults_.only_route.empty() || faults_.only_route == path;
    if (!route_fits ||
        !FaultsApply(faults_, versions_.CurrentVersion(), batch_.Running())) {
      return false;
    }
    return std::uniform_real_distribution<double>(0, 1)(random_) <
           faults_.fail_ratio;
  }

  void Admit(std::uint64_t handle, const std::string& id,
             const CompletionRequest& completion, std::int64_t cut_after) {
    EngineJob job;
    job.id = id;
    job.blocks = PromptBlocks(completion.prompt);
    job.prompt_tokens = PromptTokens(completion.prompt);
    job.max_tokens = completion.max_tokens;
    EngineStream stream;
    stream.id = id;
    stream.model = settings_.model + ":" + versions_.CurrentVersion();
    stream.prompt_tokens = job.prompt_tokens;
    stream.max_tokens = job.max_tokens;
    stream.cached_tokens = batch_.Admit(job);
    stream.cut_after = cut_after;
    stream.touched = Now();
    streams_.Add(stream);
    streams_.Read(id, handle, 0, &Front());
    if (step_ == nullptr) {
      StartStep(Now());
    }
  }

  void HandleStream(const CallerRequest& request) {
    const std::string id =
        request.path.substr(std::string(kStreamsPrefix).size());
    const EngineStream* stream = streams_.Find(id);
    if (stream == nullptr || stream->state == StreamState::kFailed) {
      return AnswerJson(request.handle, kNotFound, "{}");
    }
    if (request.method == "DELETE") {
      Cancel(id);
      streams_.Remove(id, &Front());
      return AnswerJson(request.handle, kOk, "{}");
    }
    const std::string after = HeaderValue(request, "last-event-id");
    streams_.Read(id, request.handle, after.empty() ? 0 : std::stoll(after),
                  &Front());
  }

  void Cancel(const std::string& id) {
    EngineStream* stream = streams_.Find(id);
    if (stream->state != StreamState::kOpen) {
      return;
    }
    stats_.CountEnd(StreamState::kCancelled, batch_.Cancel(id),
                    stream->generated);
    stream->state = StreamState::kCancelled;
    stream->touched = Now();
  }

  // Computes a step when it starts and sends its tokens when it ends.
  void StartStep(Time now) {
    std::vector<EngineToken> tokens;
    Duration length = batch_.Step(&tokens);
    if (length == Duration(0)) {
      step_.reset();
      return;
    }
    if (FaultsApply(faults_, versions_.CurrentVersion(), batch_.Running())) {
      length = FromSeconds(ToSeconds(length) * faults_.slow_factor);
    }
    // The next step starts at the scheduled end of this one, so that delays of
    // the event loop do not reduce the engine's throughput.
    step_start_ = std::max(step_start_, now - length) + length;
    step_ = Timers().At(step_start_, [this, tokens](Time later) {
      for (const EngineToken& token : tokens) {
        Send(token);
      }
      StartStep(later);
    });
  }

  void Send(const EngineToken& token) {
    EngineStream* stream = streams_.Find(token.id);
    if (stream == nullptr || stream->state != StreamState::kOpen) {
      return;
    }
    stream->generated = token.index;
    const std::int64_t prefilled =
        stream->prompt_tokens - stream->cached_tokens;
    if (stream->cut_after > 0 && token.index >= stream->cut_after) {
      batch_.Cancel(token.id);
      stream->state = StreamState::kFailed;
    } else if (token.last) {
      stream->state = StreamState::kWhole;
    }
    if (stream->state != StreamState::kOpen) {
      stream->touched = Now();
      stats_.CountEnd(stream->state, prefilled, stream->generated);
    }
    streams_.Flush(token.id, &Front());
  }

  void KeepHouse(Time now) {
    versions_.Poll();
    EngineLoad load;
    load.running = batch_.Running();
    load.waiting = batch_.Waiting();
    load.kv_used_ratio = std::min(
        1.0, static_cast<double>(load.running + load.waiting) / kFullBatch);
    load.leaving = faults_.leaving;
    load.version = versions_.CurrentVersion();
    reports_.TakeLoad(load, now);
    reports_.TakeEvents(batch_.Cache().TakeEvents(), now);
    for (const std::string& id :
         streams_.Abandoned(now - settings_.keep_unread)) {
      Cancel(id);
    }
    streams_.Expire(now - settings_.keep_ended);
  }

  FakeEngineSettings settings_;
  EngineFaults faults_;
  EngineBatch batch_;
  EngineStreams streams_;
  EngineVersions versions_;
  EngineReports reports_;
  EngineStats stats_;
  std::mt19937_64 random_;
  Time step_start_;
  std::unique_ptr<TimerService::Subscription> step_;
  std::unique_ptr<TimerService::Subscription> freeze_;
  std::unique_ptr<TimerService::Subscription> housekeeping_;
};

}  // namespace

std::unique_ptr<Standin> MakeFakeEngine(const FakeEngineSettings& settings) {
  return std::make_unique<FakeEngine>(settings);
}

}  // namespace hornbeamcleat
