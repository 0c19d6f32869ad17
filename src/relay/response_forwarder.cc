#include "src/relay/response_forwarder.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "src/relay/http_writer.h"

namespace hornbeamcleat {
namespace {

/// Responses up to this size are buffered until they are complete.
constexpr std::size_t kMaxBufferedBytes = 262'144;
/// Size of an event above which a stream counts as broken.
constexpr std::size_t kMaxEventBytes = 1'048'576;
/// Body bytes that are read of a response of no use, so that its connection can
/// be reused.
constexpr std::size_t kMaxRestBytes = 65'536;
/// Unsent bytes above which reading from the target pauses.
constexpr std::size_t kMaxUnsentBytes = 262'144;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Whether a response of a streaming route consists of events. A target may
// omit the type.
bool IsEventStream(const HeaderList& headers) {
  constexpr std::string_view kType = "text/event-stream";
  const std::string* type = FindHeader(headers, "Content-Type");
  return type == nullptr ||
         HeaderNamesEqual(type->substr(0, kType.size()), kType);
}

}  // namespace

const char* StreamFaultName(StreamFault fault) {
  switch (fault) {
    case StreamFault::kNone:
      return "none";
    case StreamFault::kPartialEvent:
      return "partial_event";
    case StreamFault::kNoEvent:
      return "no_event";
  }
  return "unknown";
}

const char* BodyLimitName(BodyLimit limit) {
  switch (limit) {
    case BodyLimit::kNone:
      return "none";
    case BodyLimit::kEvent:
      return "event_too_long";
    case BodyLimit::kFailure:
      return "failure_too_long";
    case BodyLimit::kMemory:
      return "memory_exceeded";
    case BodyLimit::kRest:
      return "rest_too_long";
  }
  return "unknown";
}

void ResponseForwarder::StartAttempt() {
  kind_ = ResponseKind::kNone;
  is_event_stream_ = false;
  events_before_attempt_ = splitter_.EventCount();
  head_ = MessageHead();
  body_.clear();
  rest_bytes_ = 0;
  splitter_.DropPartial();
  held_.Set(0);
}

ResponseKind ResponseForwarder::OnHead(const MessageHead& head) {
  const ResponseInfo info =
      codec_->ParseResponseHeaders(head.status, head.headers);
  head_ = head;
  if (info.not_executed) {
    kind_ = ResponseKind::kNotExecuted;
  } else if (!IsSuccess(head.status)) {
    kind_ = ResponseKind::kFailure;
  } else if (!info.is_signed ||
             (has_started_ && !IsEventStream(head.headers))) {
    // A stream that has begun goes on with events only.
    kind_ = ResponseKind::kUnsigned;
  } else if (route_->kind == RouteKind::kStreaming) {
    kind_ = ResponseKind::kStream;
    // A resume continues the events that were sent.
    is_event_stream_ = has_started_ || IsEventStream(head.headers);
  } else {
    kind_ = ResponseKind::kBuffered;
  }
  return kind_;
}

void ResponseForwarder::OnBody(std::string* body, Time now) {
  if (kind_ == ResponseKind::kStream) {
    ForwardStream(body, now);
  } else if (kind_ == ResponseKind::kBuffered ||
             kind_ == ResponseKind::kFailure) {
    body_.append(*body);
  } else {
    rest_bytes_ += body->size();
  }
  body->clear();
  held_.Set(body_.size() + splitter_.PartialEvent().size());
  if (kind_ == ResponseKind::kBuffered && held_.Exceeds(kMaxBufferedBytes)) {
    StartForwarding();
  }
  unsent_.Set(sink_->Unsent());
}

void ResponseForwarder::StartForwarding() {
  kind_ = ResponseKind::kStream;
  SendHead();
  sink_->SendBody(body_);
  body_ = std::string();
  held_.Set(0);
}

BodyLimit ResponseForwarder::ExceededLimit() const {
  if (is_event_stream_ && splitter_.PartialBytes() > kMaxEventBytes) {
    return BodyLimit::kEvent;
  }
  if (kind_ == ResponseKind::kFailure && body_.size() > kMaxBufferedBytes) {
    return BodyLimit::kFailure;
  }
  if (held_.Exceeds(kMaxEventBytes)) {
    return BodyLimit::kMemory;
  }
  return rest_bytes_ > kMaxRestBytes ? BodyLimit::kRest : BodyLimit::kNone;
}

bool ResponseForwarder::IsCallerBehind() const {
  return unsent_.Exceeds(kMaxUnsentBytes);
}

StreamFault ResponseForwarder::CheckStreamEnd() const {
  if (!is_event_stream_) {
    return StreamFault::kNone;
  }
  if (splitter_.IsInsideEvent()) {
    return StreamFault::kPartialEvent;
  }
  if (head_.framing == BodyFraming::kUntilClose &&
      splitter_.EventCount() == events_before_attempt_) {
    return StreamFault::kNoEvent;
  }
  return StreamFault::kNone;
}

void ResponseForwarder::FinishStream() {
  if (!has_started_) {
    SendHead();
  }
  sink_->SendBody(splitter_.TakeRest());
}

void ResponseForwarder::SendBuffered() {
  sink_->SendResponse(head_.status, head_.reason,
                      EndToEndHeaders(head_.headers), body_);
}

void ResponseForwarder::SendHead() {
  has_started_ = true;
  std::optional<std::uint64_t> length;
  // A stream that reaches its stated length inside an event must not look
  // complete, and a resumed one can have another length.
  if (head_.framing == BodyFraming::kLength && !is_event_stream_) {
    length = head_.content_length;
  }
  sink_->BeginBody(head_.status, head_.reason, EndToEndHeaders(head_.headers),
                   length);
}

void ResponseForwarder::ForwardStream(std::string* body, Time now) {
  std::string bytes;
  if (is_event_stream_ && route_->is_resumable) {
    bytes = splitter_.Feed(*body);
  } else {
    if (is_event_stream_) {
      splitter_.Track(*body);
    }
    bytes = std::move(*body);
  }
  if (bytes.empty()) {
    return;
  }
  if (!has_started_) {
    SendHead();
  }
  RecordPause(now);
  sink_->SendBody(bytes);
}

void ResponseForwarder::RecordPause(Time now) {
  if (last_event_at_ != Time()) {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  } else {
    time_to_first_event_ = now - arrival_;
  }
  last_event_at_ = now;
}

}  // namespace hornbeamcleat
