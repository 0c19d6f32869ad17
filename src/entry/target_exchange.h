#ifndef HORNBEAMCLEAT_SRC_ENTRY_TARGET_EXCHANGE_H_
#define HORNBEAMCLEAT_SRC_ENTRY_TARGET_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"
#include "src/net/caller_front.h"
#include "src/net/event_stream.h"
#include "src/net/target_client.h"

namespace hornbeamcleat {

class TargetExchange;

/// Receives the events of an exchange with a target. A handler may close the
/// exchange but must not destroy it.
class TargetExchangeHandler {
 public:
  virtual ~TargetExchangeHandler() = default;

  /// The request is being sent; from now on it may have run.
  virtual void OnSent(TargetExchange* exchange) = 0;
  /// The target began a stream of parts.
  virtual void OnStream(TargetExchange* exchange) = 0;
  virtual void OnPart(TargetExchange* exchange, const StreamEvent& part) = 0;
  /// The stream's last event arrived.
  virtual void OnStreamDone(TargetExchange* exchange,
                            const StreamEvent& last) = 0;
  /// A non-streaming answer is complete.
  virtual void OnPlainAnswer(TargetExchange* exchange,
                             const CallerAnswer& answer) = 0;
  /// The request did not run.
  /// @param reported_by_target whether the target reported this; otherwise the
  ///   connection failed
  virtual void OnNotRun(TargetExchange* exchange, bool reported_by_target,
                        Duration retry_after) = 0;
  /// The target answered with a server error or exceeded a limit.
  virtual void OnFailed(TargetExchange* exchange) = 0;
  /// The target answered a resume, but not with a stream.
  virtual void OnResumeRefused(TargetExchange* exchange) = 0;
  /// The connection ended before the answer was complete.
  virtual void OnIncomplete(TargetExchange* exchange) = 0;
  /// The answer carries the id of another request.
  virtual void OnRequestIdMismatch(TargetExchange* exchange) = 0;
};

/// Size limits for the answers of targets.
struct TargetExchangeLimits {
  std::size_t max_part = 0;    ///< bytes of one part
  std::size_t max_answer = 0;  ///< bytes of a non-streaming answer
};

/// One HTTP exchange with a target for one request: a run or a resume.
/// Translates HTTP events into the events of TargetExchangeHandler.
class TargetExchange {
 public:
  enum class Kind { kRun, kResume };

  TargetExchange(Kind kind, std::uint64_t handle, RequestId id,
                 const TargetExchangeLimits& limits,
                 TargetExchangeHandler* handler);

  Kind GetKind() const { return kind_; }
  std::uint64_t Handle() const { return handle_; }
  bool Streaming() const { return streaming_; }

  /// Suppresses all further events.
  void Close() { closed_ = true; }
  bool Closed() const { return closed_; }

  void OnSending();
  void OnHead(int status, const std::map<std::string, std::string>& headers);
  void OnBody(std::string_view bytes);
  void OnEnd(TargetEnd end);

 private:
  void HandleRunHead(int status,
                     const std::map<std::string, std::string>& headers);
  void BeginStream();
  void HandleEvent(const StreamEvent& event);
  void AppendPlainBody(std::string_view bytes);

  Kind kind_;
  std::uint64_t handle_;
  RequestId id_;
  TargetExchangeLimits limits_;
  TargetExchangeHandler* handler_;
  EventStreamParser parser_;
  bool closed_ = false;
  bool streaming_ = false;
  bool done_ = false;
  CallerAnswer plain_answer_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TARGET_EXCHANGE_H_
