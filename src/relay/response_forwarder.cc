#include "src/relay/response_forwarder.h"

#include <algorithm>
#include <optional>

#include "src/relay/http_writer.h"

namespace hornbeamcleat {
namespace {

/// Responses up to this size are buffered until they are complete.
constexpr std::size_t kMaxBufferedBytes = 262'144;
/// Unsent bytes above which reading from the target pauses.
constexpr std::size_t kMaxUnsentBytes = 262'144;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

void ResponseForwarder::StartAttempt() {
  kind_ = ResponseKind::kNone;
  head_ = MessageHead();
  body_.clear();
  splitter_.DropPartial();
}

ResponseKind ResponseForwarder::OnHead(const MessageHead& head) {
  const ResponseInfo info =
      codec_->ParseResponseHeaders(head.status, head.headers);
  head_ = head;
  if (info.not_executed) {
    kind_ = ResponseKind::kNotExecuted;
  } else if (!IsSuccess(head.status)) {
    kind_ = ResponseKind::kFailure;
  } else if (!info.is_signed) {
    kind_ = ResponseKind::kUnsigned;
  } else if (route_->kind == RouteKind::kStreaming) {
    kind_ = ResponseKind::kStream;
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
    if (body_.size() > kMaxBufferedBytes && kind_ == ResponseKind::kBuffered) {
      kind_ = ResponseKind::kStream;
      SendHead();
      sink_->SendBody(body_);
      body_.clear();
    }
  }
  body->clear();
}

bool ResponseForwarder::IsCallerBehind() const {
  return sink_->Unsent() > kMaxUnsentBytes;
}

bool ResponseForwarder::FinishStream() {
  if (route_->is_resumable && splitter_.IsInsideEvent()) {
    return false;
  }
  if (!has_started_) {
    SendHead();
  }
  sink_->SendBody(splitter_.TakeRest());
  return true;
}

void ResponseForwarder::SendBuffered() {
  sink_->SendResponse(head_.status, head_.reason,
                      EndToEndHeaders(head_.headers), body_);
}

void ResponseForwarder::SendHead() {
  has_started_ = true;
  std::optional<std::uint64_t> length;
  // The total length of a resumed response can differ from the length that the
  // first target stated.
  if (head_.framing == BodyFraming::kLength && !route_->is_resumable) {
    length = head_.content_length;
  }
  sink_->BeginBody(head_.status, head_.reason, EndToEndHeaders(head_.headers),
                   length);
}

void ResponseForwarder::ForwardStream(std::string* body, Time now) {
  std::string whole_events;
  if (route_->is_resumable) {
    whole_events = splitter_.Feed(*body);
  } else if (route_->kind == RouteKind::kStreaming) {
    splitter_.Track(*body);
  }
  const std::string& bytes = route_->is_resumable ? whole_events : *body;
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
