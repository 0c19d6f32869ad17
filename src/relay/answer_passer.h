#ifndef HORNBEAMCLEAT_SRC_RELAY_ANSWER_PASSER_H_
#define HORNBEAMCLEAT_SRC_RELAY_ANSWER_PASSER_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "src/relay/caller_connection.h"
#include "src/relay/event_cutter.h"
#include "src/relay/http_codec.h"
#include "src/relay/http_parser.h"

namespace hornbeamcleat {

/// What a target's answer is, by its head.
enum class AnswerKind {
  kNone,      ///< no head yet
  kStream,    ///< passed on as it comes
  kHeld,      ///< passed on when it is whole
  kFailure,   ///< the target's own failure status
  kNotRun,    ///< the target did not run the request
  kUnsigned,  ///< success that the target didn't mark as its own
};

/// Passes the answers of one request's attempts on to its caller. Streams go on
/// as they come, on resumable routes cut at the ends of events; other answers
/// only when they are whole, so that a broken one can still be replaced.
class AnswerPasser {
 public:
  AnswerPasser(const HttpCodec* dialect, ResponseSink* sink, Time arrival)
      : dialect_(dialect), sink_(sink), arrival_(arrival) {}

  void SetRoute(const ServingRoute* route) { route_ = route; }

  /// A new attempt begins; what is left of the one before is dropped.
  void StartAttempt();

  AnswerKind TakeHead(const MessageHead& head);

  /// Takes bytes of the body out of `body`.
  void TakeBody(std::string* body, Time now);

  /// Whether the caller has left so much untaken that its target should not be
  /// read now.
  bool IsFull() const;

  /// The target's stream ended where it said; false if an event is cut off.
  bool EndStream();

  /// Passes a whole answer on.
  void PassWhole();

  AnswerKind Kind() const { return kind_; }
  int Status() const { return head_.status; }
  /// Whether the caller has got the head, so that no other answer can follow.
  bool HasBegun() const { return has_begun_; }
  /// Whether another target can go on from what the caller has got.
  bool CanGoOn() const { return !has_begun_ || !cutter_.LastId().empty(); }
  /// Last event that the caller has got; empty if none.
  std::string LastEventId() const {
    return has_begun_ ? cutter_.LastId() : std::string();
  }
  int Events() const { return static_cast<int>(cutter_.Events()); }
  /// From the request's arrival to the first event; zero before.
  Duration FirstEventAfter() const { return first_event_after_; }
  Duration LongestPause() const { return longest_pause_; }

 private:
  void Begin();
  void PassStream(std::string* body, Time now);
  void NotePause(Time now);

  const HttpCodec* const dialect_;
  ResponseSink* const sink_;
  const Time arrival_;
  const ServingRoute* route_ = nullptr;
  AnswerKind kind_ = AnswerKind::kNone;
  MessageHead head_;
  std::string body_;
  EventCutter cutter_;
  bool has_begun_ = false;
  Time last_event_;
  Duration first_event_after_{0};
  Duration longest_pause_{0};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_ANSWER_PASSER_H_
