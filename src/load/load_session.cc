#include "src/load/load_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxEvent = 1024 * 1024;  // bytes
constexpr std::size_t kMaxBody = 1024 * 1024;   // bytes
constexpr int kOk = 200;
constexpr int kMaxConnects = 8;
constexpr int kMaxResumes = 8;
constexpr Duration kReconnectDelay = std::chrono::milliseconds(100);
constexpr std::int64_t kMicrosecondsPerMs = 1'000;

std::string FindHeader(const std::map<std::string, std::string>& headers,
                       const std::string& name) {
  const std::map<std::string, std::string>::const_iterator it =
      headers.find(name);
  return it == headers.end() ? "" : it->second;
}

}  // namespace

LoadSession::LoadSession(const PlannedRequest& plan,
                         const RequestClass& request_class,
                         const SessionOptions& options)
    : plan_(plan),
      class_(request_class),
      options_(options),
      retries_left_(options.max_retries),
      check_(plan.id, plan.max_tokens, options.direct),
      parser_(kMaxEvent) {
  record_.id = plan.id;
  record_.request_class = plan.request_class;
  record_.intended = plan.at;
}

TargetRequest LoadSession::Begin(SessionStep step, const std::string& address,
                                 Duration now) {
  streaming_ = false;
  status_ = 0;
  body_.clear();
  parser_ = EventStreamParser(kMaxEvent);
  TargetRequest out;
  out.address = address;
  if (step == SessionStep::kResume) {
    ++record_.resumes;
    out.method = "GET";
    out.path = "/v1/answers/" + plan_.id;
    out.headers["Resume-Handle"] = resume_handle_;
    out.headers["Last-Event-ID"] = std::to_string(check_.LastId());
    return out;
  }
  ++record_.attempts;
  record_.sent = now;
  const Duration left = plan_.at + class_.deadline - now;
  out.path = class_.path;
  out.body = Body();
  out.headers["Content-Type"] = "application/json";
  out.headers["Request-Id"] = plan_.id;
  out.headers["Workspace"] = class_.workspace;
  out.headers["Application"] = class_.application;
  out.headers["Deadline-Ms"] = std::to_string(
      std::max<std::int64_t>(1, left.count() / kMicrosecondsPerMs));
  if (class_.service) {
    out.headers["Idempotency-Key"] = Key();
  }
  return out;
}

// The date of issue in front is what lets the system forget old keys.
std::string LoadSession::Key() const {
  const WallTime issued =
      options_.run_start +
      std::chrono::duration_cast<std::chrono::milliseconds>(plan_.at);
  return fmt::format("{:013}-{}", issued.time_since_epoch().count(), plan_.id);
}

std::string LoadSession::Body() const {
  if (class_.service) {
    return fmt::format(R"({{"call":"{}"}})", plan_.id);
  }
  return fmt::format(R"({{"model":"{}","stream":true,"max_tokens":{},)"
                     R"("messages":[{{"role":"user","content":"{}"}}]}})",
                     class_.model, plan_.max_tokens,
                     PromptText(plan_, options_.prompts));
}

SessionStep LoadSession::TakeHead(
    int status, const std::map<std::string, std::string>& headers) {
  status_ = status;
  streaming_ =
      status == kOk &&
      FindHeader(headers, "content-type").starts_with("text/event-stream");
  const std::string handle = FindHeader(headers, "resume-handle");
  if (!handle.empty()) {
    resume_handle_ = handle;
  }
  const std::string version = FindHeader(headers, "target-version");
  if (!version.empty()) {
    record_.version = version;
  }
  return SessionStep::kWait;
}

SessionStep LoadSession::TakeBody(std::string_view bytes, Duration now) {
  if (done_) {
    return SessionStep::kDone;
  }
  if (!streaming_) {
    body_.append(bytes.substr(0, kMaxBody - std::min(kMaxBody, body_.size())));
    return SessionStep::kWait;
  }
  SessionStep step = SessionStep::kWait;
  try {
    parser_.Feed(bytes, [&](const StreamEvent& event) {
      if (step == SessionStep::kWait) {
        step = TakeEvent(event, now);
      }
    });
  } catch (const std::exception& e) {
    return Finish(RequestEnd::kWrong, e.what(), now);
  }
  return step;
}

SessionStep LoadSession::TakeEvent(const StreamEvent& event, Duration now) {
  switch (check_.Take(event)) {
    case AnswerCheck::Took::kToken:
      return TakeToken(now);
    case AnswerCheck::Took::kOther:
      return SessionStep::kWait;
    case AnswerCheck::Took::kEnd:
      return FinishWhole(now);
    case AnswerCheck::Took::kRefusal:
      return TakeRefusal(event.data, now);
    case AnswerCheck::Took::kWrong:
      return Finish(RequestEnd::kWrong, check_.Fault(), now);
  }
  return SessionStep::kWait;
}

SessionStep LoadSession::TakeToken(Duration now) {
  if (record_.first_part < Duration(0)) {
    record_.first_part = now;
  } else {
    gaps_.push_back(static_cast<std::uint32_t>((now - last_part_).count()));
  }
  last_part_ = now;
  return SessionStep::kWait;
}

SessionStep LoadSession::TakeEnd(TargetEnd end, const std::string& cause,
                                 Duration now) {
  if (done_) {
    return SessionStep::kDone;
  }
  retry_delay_ = kReconnectDelay;
  const bool resumable = !options_.direct && !resume_handle_.empty();
  if (resumable && (streaming_ || end != TargetEnd::kComplete)) {
    return record_.resumes < kMaxResumes
               ? SessionStep::kResume
               : Finish(RequestEnd::kLost, "resumes used up", now);
  }
  if (end == TargetEnd::kNotConnected && record_.attempts < kMaxConnects) {
    return SessionStep::kSend;
  }
  if (end != TargetEnd::kComplete || streaming_) {
    return Finish(RequestEnd::kLost, cause, now);
  }
  return status_ == kOk ? TakeServiceAnswer(now) : TakeRefusal(body_, now);
}

SessionStep LoadSession::TakeServiceAnswer(Duration now) {
  if (body_.find("\"id\":\"" + plan_.id + "\"") == std::string::npos) {
    return Finish(RequestEnd::kWrong, "answer to another request", now);
  }
  record_.first_part = now;
  return FinishWhole(now);
}

SessionStep LoadSession::TakeRefusal(const std::string& problem, Duration now) {
  std::int64_t retry_ms = 0;
  std::string reason = fmt::format("status_{}", status_);
  try {
    const SerializationInfo value = ParseJson(problem, kMaxBody);
    record_.outcome = JsonMember(value, "outcome", std::string("unknown"));
    reason = JsonMember(value, "reason", reason);
    retry_ms = JsonMember<std::int64_t>(value, "retryAfterMs", 0);
  } catch (const std::exception&) {
    record_.outcome = "unknown";
  }
  retry_delay_ = std::chrono::milliseconds(std::max<std::int64_t>(retry_ms, 1));
  const bool in_time = now + retry_delay_ < plan_.at + class_.deadline;
  if (record_.outcome == "not_run" && retries_left_ > 0 && in_time) {
    --retries_left_;
    record_.outcome.clear();
    return SessionStep::kSend;
  }
  return Finish(RequestEnd::kRefused, reason, now);
}

SessionStep LoadSession::FinishWhole(Duration now) {
  const bool in_time = now <= plan_.at + class_.deadline;
  return Finish(in_time ? RequestEnd::kWholeInTime : RequestEnd::kWholeLate, "",
                now);
}

SessionStep LoadSession::Finish(RequestEnd end, const std::string& reason,
                                Duration now) {
  done_ = true;
  record_.end = end;
  record_.reason = reason;
  record_.ended = now;
  record_.parts = check_.Tokens();
  record_.prompt_tokens = check_.PromptTokens();
  record_.cached_tokens = check_.CachedTokens();
  return SessionStep::kDone;
}

void LoadSession::GiveUp(Duration now) {
  if (!done_) {
    Finish(RequestEnd::kLost, "no end before the run was over", now);
  }
}

}  // namespace hornbeamcleat
