#include "src/entry/target_exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr int kMinServerErrorStatus = 500;
constexpr std::int64_t kMaxRetryAfterMs = 3'600'000;
constexpr char kEndOfStreamData[] = "[DONE]";

using Headers = std::map<std::string, std::string>;

std::string Find(const Headers& headers, const char* name) {
  const Headers::const_iterator it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

Duration RetryAfter(const Headers& headers) {
  const std::string text = Find(headers, "retry-after-ms");
  std::int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(ms, 0, kMaxRetryAfterMs));
}

bool IsEventStream(const Headers& headers) {
  return Find(headers, "content-type").starts_with("text/event-stream");
}

}  // namespace

TargetExchange::TargetExchange(Kind kind, std::uint64_t handle, RequestId id,
                               const TargetExchangeLimits& limits,
                               TargetExchangeHandler* handler)
    : kind_(kind),
      handle_(handle),
      id_(std::move(id)),
      limits_(limits),
      handler_(handler),
      parser_(limits.max_part) {}

void TargetExchange::OnSending() {
  if (!closed_) {
    handler_->OnSent(this);
  }
}

void TargetExchange::OnHead(int status, const Headers& headers) {
  if (closed_) {
    return;
  }
  const std::string named = Find(headers, "request-id");
  if (!named.empty() && named != id_) {
    handler_->OnRequestIdMismatch(this);
    return;
  }
  if (kind_ == Kind::kRun) {
    HandleRunHead(status, headers);
  } else if (status == kStatusOk && IsEventStream(headers)) {
    BeginStream();
  } else {
    handler_->OnResumeRefused(this);
  }
}

void TargetExchange::HandleRunHead(int status, const Headers& headers) {
  if (status == kStatusUnavailable &&
      Find(headers, "request-outcome") == "not_run") {
    handler_->OnNotRun(this, true, RetryAfter(headers));
  } else if (status >= kMinServerErrorStatus) {
    handler_->OnFailed(this);
  } else if (status == kStatusOk && IsEventStream(headers)) {
    BeginStream();
  } else {
    plain_answer_.status = status;
    plain_answer_.content_type = Find(headers, "content-type");
  }
}

void TargetExchange::BeginStream() {
  streaming_ = true;
  handler_->OnStream(this);
}

void TargetExchange::OnBody(std::string_view bytes) {
  if (closed_) {
    return;
  }
  if (!streaming_) {
    AppendPlainBody(bytes);
    return;
  }
  try {
    parser_.Feed(bytes,
                 [this](const StreamEvent& event) { HandleEvent(event); });
  } catch (const Error&) {
    handler_->OnFailed(this);
  }
}

void TargetExchange::HandleEvent(const StreamEvent& event) {
  if (closed_ || done_) {
    return;
  }
  if (event.data == kEndOfStreamData) {
    done_ = true;
    handler_->OnStreamDone(this, event);
  } else {
    handler_->OnPart(this, event);
  }
}

void TargetExchange::AppendPlainBody(std::string_view bytes) {
  if (plain_answer_.body.size() + bytes.size() > limits_.max_answer) {
    handler_->OnFailed(this);
    return;
  }
  plain_answer_.body += bytes;
}

void TargetExchange::OnEnd(TargetEnd end) {
  if (closed_) {
    return;
  }
  if (end == TargetEnd::kNotConnected && kind_ == Kind::kRun) {
    handler_->OnNotRun(this, false, Duration(0));
  } else if (end == TargetEnd::kComplete && kind_ == Kind::kRun &&
             !streaming_) {
    handler_->OnPlainAnswer(this, plain_answer_);
  } else {
    handler_->OnIncomplete(this);
  }
}

}  // namespace hornbeamcleat
