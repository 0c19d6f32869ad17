#include "src/relay/answer_passer.h"

#include <algorithm>
#include <optional>

#include "src/relay/http_writer.h"

namespace hornbeamcleat {
namespace {

/// Answers up to this size are passed on only when they are whole.
constexpr std::size_t kMostHeld = 262'144;
/// Bytes that a caller has not taken, above which its target is not read.
constexpr std::size_t kMostUnsent = 262'144;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

void AnswerPasser::StartAttempt() {
  kind_ = AnswerKind::kNone;
  body_.clear();
  cutter_.DropPartial();
}

AnswerKind AnswerPasser::TakeHead(const MessageHead& head) {
  const ResponseInfo answer =
      dialect_->ParseResponseHeaders(head.status, head.headers);
  head_ = head;
  if (answer.not_executed) {
    kind_ = AnswerKind::kNotRun;
  } else if (!IsSuccess(head.status)) {
    kind_ = AnswerKind::kFailure;
  } else if (!answer.is_signed) {
    kind_ = AnswerKind::kUnsigned;
  } else if (route_->kind == RouteKind::kStreaming) {
    kind_ = AnswerKind::kStream;
  } else {
    kind_ = AnswerKind::kHeld;
  }
  return kind_;
}

void AnswerPasser::TakeBody(std::string* body, Time now) {
  if (kind_ == AnswerKind::kStream) {
    PassStream(body, now);
  } else if (kind_ == AnswerKind::kHeld || kind_ == AnswerKind::kFailure) {
    body_.append(*body);
    if (body_.size() > kMostHeld && kind_ == AnswerKind::kHeld) {
      kind_ = AnswerKind::kStream;
      Begin();
      sink_->SendBody(body_);
      body_.clear();
    }
  }
  body->clear();
}

bool AnswerPasser::IsFull() const { return sink_->Unsent() > kMostUnsent; }

bool AnswerPasser::EndStream() {
  if (!cutter_.Partial().empty()) {
    return false;
  }
  if (!has_begun_) {
    Begin();
  }
  return true;
}

void AnswerPasser::PassWhole() {
  sink_->SendResponse(head_.status, head_.reason,
                      EndToEndHeaders(head_.headers), body_);
}

void AnswerPasser::Begin() {
  has_begun_ = true;
  std::optional<std::uint64_t> length;
  // A resumed answer has another length than its first part stated.
  if (head_.framing == BodyFraming::kLength && !route_->is_resumable) {
    length = head_.content_length;
  }
  sink_->BeginBody(head_.status, head_.reason, EndToEndHeaders(head_.headers),
                   length);
}

void AnswerPasser::PassStream(std::string* body, Time now) {
  const std::string bytes = route_->is_resumable ? cutter_.Feed(*body) : *body;
  if (bytes.empty()) {
    return;
  }
  if (!has_begun_) {
    Begin();
  }
  NotePause(now);
  sink_->SendBody(bytes);
}

void AnswerPasser::NotePause(Time now) {
  if (last_event_ != Time()) {
    longest_pause_ = std::max(longest_pause_, now - last_event_);
  } else {
    first_event_after_ = now - arrival_;
  }
  last_event_ = now;
}

}  // namespace hornbeamcleat
