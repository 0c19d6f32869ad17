#ifndef HORNBEAMCLEAT_SRC_RELAY_RESPONSE_FORWARDER_H_
#define HORNBEAMCLEAT_SRC_RELAY_RESPONSE_FORWARDER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "src/relay/buffer_budget.h"
#include "src/relay/caller_connection.h"
#include "src/relay/http_codec.h"
#include "src/relay/http_parser.h"
#include "src/relay/sse_splitter.h"

namespace hornbeamcleat {

/// Classification of a target's response by its head.
enum class ResponseKind {
  kNone,         ///< no head received yet
  kStream,       ///< forwarded as it arrives
  kBuffered,     ///< forwarded once it is complete
  kFailure,      ///< the target answered with an error status
  kNotExecuted,  ///< the target did not execute the request
  kUnsigned,     ///< success status without the target's signature
};

/// Why a stream is incomplete although its target's response ended regularly.
enum class StreamFault {
  kNone,
  kPartialEvent,  ///< it ended inside an event
  kNoEvent,       ///< it ended with its connection before the first event
};

/// Name of a fault in logs and metrics.
const char* StreamFaultName(StreamFault fault);

/// Limit that a response's body has exceeded. A faulty target may send bytes
/// without end.
enum class BodyLimit {
  kNone,
  kEvent,    ///< bytes of one event
  kFailure,  ///< buffered body of an error status
  kMemory,   ///< its part of the memory that all responses share
  kRest,     ///< body of a response that is known to be of no use
};

/// Name of a limit in logs and metrics.
const char* BodyLimitName(BodyLimit limit);

/// Forwards the responses of one request's attempts to its caller. Streams are
/// forwarded as they arrive, on resumable routes in whole events. Other
/// responses are buffered until they are complete, so that an incomplete one
/// can still be replaced by another attempt.
class ResponseForwarder {
 public:
  ResponseForwarder(const HttpCodec* codec, ResponseSink* sink, Time arrival,
                    std::shared_ptr<BufferBudget> budget)
      : codec_(codec),
        sink_(sink),
        arrival_(arrival),
        held_(budget),
        unsent_(std::move(budget)) {}

  void SetRoute(const ServingRoute* route) { route_ = route; }

  /// Starts a new attempt and discards unsent data of the previous one.
  void StartAttempt();

  ResponseKind OnHead(const MessageHead& head);

  /// Consumes all bytes of `body`.
  void OnBody(std::string* body, Time now);

  /// Limit that the current attempt's body has exceeded.
  BodyLimit ExceededLimit() const;

  /// Whether so much output is unsent that reading from the target should
  /// pause.
  bool IsCallerBehind() const;

  /// Handles that the caller has been sent all output.
  void OnFlushed() { unsent_.Set(0); }

  /// Checks a stream whose response ended regularly. The end of a connection
  /// doesn't prove that a response is complete, since a crashed target may
  /// close in an orderly way; then only the events tell.
  StreamFault CheckStreamEnd() const;

  /// Sends what is left of a complete stream.
  void FinishStream();

  /// Sends a complete buffered response.
  void SendBuffered();

  ResponseKind Kind() const { return kind_; }
  int Status() const { return head_.status; }
  /// Whether the head was sent, so that no other response can replace this one.
  bool HasStarted() const { return has_started_; }
  /// Whether another target can continue from what was sent so far.
  bool CanResume() const {
    return !has_started_ || !splitter_.LastEventId().empty();
  }
  /// Id of the last event sent to the caller; empty if none.
  std::string LastEventId() const {
    return has_started_ ? splitter_.LastEventId() : std::string();
  }
  int EventCount() const { return splitter_.EventCount(); }
  /// Bytes received of an event that is not complete.
  std::size_t PartialEventBytes() const { return splitter_.PartialBytes(); }
  /// Framing of the latest attempt's response.
  BodyFraming Framing() const { return head_.framing; }
  /// Time from the request's arrival to the first event; zero before it.
  Duration TimeToFirstEvent() const { return time_to_first_event_; }
  Duration LongestPause() const { return longest_pause_; }

 private:
  /// Sends what is buffered, and the rest of the response as it arrives.
  void StartForwarding();
  void SendHead();
  void ForwardStream(std::string* body, Time now);
  void RecordPause(Time now);

  const HttpCodec* const codec_;
  ResponseSink* const sink_;
  const Time arrival_;
  const ServingRoute* route_ = nullptr;
  ResponseKind kind_ = ResponseKind::kNone;
  bool is_event_stream_ = false;
  int events_before_attempt_ = 0;
  MessageHead head_;
  std::string body_;
  BufferBudget::Share held_;    ///< body and incomplete event
  BufferBudget::Share unsent_;  ///< output that the caller has not read
  std::size_t rest_bytes_ = 0;  ///< discarded body bytes of this attempt
  SseSplitter splitter_;
  bool has_started_ = false;
  Time last_event_at_;
  Duration time_to_first_event_{0};
  Duration longest_pause_{0};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_RESPONSE_FORWARDER_H_
