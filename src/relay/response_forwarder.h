#ifndef HORNBEAMCLEAT_SRC_RELAY_RESPONSE_FORWARDER_H_
#define HORNBEAMCLEAT_SRC_RELAY_RESPONSE_FORWARDER_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "src/relay/caller_connection.h"
#include "src/relay/http_codec.h"
#include "src/relay/http_parser.h"
#include "src/relay/sse_splitter.h"

namespace hornbeamcleat {

/// What a target's answer is, by its head.
enum class ResponseKind {
  kNone,         ///< no head yet
  kStream,       ///< passed on as it comes
  kBuffered,     ///< passed on when it is whole
  kFailure,      ///< the target's own failure status
  kNotExecuted,  ///< the target did not run the request
  kUnsigned,     ///< success that the target didn't mark as its own
};

/// Passes the answers of one request's attempts on to its caller. Streams go on
/// as they come, on resumable routes cut at the ends of events; other answers
/// only when they are whole, so that a broken one can still be replaced.
class ResponseForwarder {
 public:
  ResponseForwarder(const HttpCodec* dialect, ResponseSink* sink, Time arrival)
      : dialect_(dialect), sink_(sink), arrival_(arrival) {}

  void SetRoute(const ServingRoute* route) { route_ = route; }

  /// A new attempt begins; what is left of the one before is dropped.
  void StartAttempt();

  ResponseKind OnHead(const MessageHead& head);

  /// Takes bytes of the body out of `body`.
  void OnBody(std::string* body, Time now);

  /// Whether the caller has left so much untaken that its target should not be
  /// read now.
  bool IsCallerBehind() const;

  /// The target's stream ended where it said; false if an event is cut off.
  bool FinishStream();

  /// Passes a whole answer on.
  void SendBuffered();

  ResponseKind Kind() const { return kind_; }
  int Status() const { return head_.status; }
  /// Whether the caller has got the head, so that no other answer can follow.
  bool HasStarted() const { return has_started_; }
  /// Whether another target can go on from what the caller has got.
  bool CanResume() const {
    return !has_started_ || !splitter_.LastEventId().empty();
  }
  /// Last event that the caller has got; empty if none.
  std::string LastEventId() const {
    return has_started_ ? splitter_.LastEventId() : std::string();
  }
  int EventCount() const { return static_cast<int>(splitter_.EventCount()); }
  /// From the request's arrival to the first event; zero before.
  Duration TimeToFirstEvent() const { return time_to_first_event_; }
  Duration LongestPause() const { return longest_pause_; }

 private:
  void SendHead();
  void ForwardStream(std::string* body, Time now);
  void RecordPause(Time now);

  const HttpCodec* const dialect_;
  ResponseSink* const sink_;
  const Time arrival_;
  const ServingRoute* route_ = nullptr;
  ResponseKind kind_ = ResponseKind::kNone;
  MessageHead head_;
  std::string body_;
  SseSplitter splitter_;
  bool has_started_ = false;
  Time last_event_at_;
  Duration time_to_first_event_{0};
  Duration longest_pause_{0};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_RESPONSE_FORWARDER_H_
