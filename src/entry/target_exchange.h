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

/// Takes what an exchange with a target means. It may close the exchange, but
/// must not destroy it.
class TargetExchangeHandler {
 public:
  virtual ~TargetExchangeHandler() = default;

  /// From now on the request may have run.
  virtual void OnSent(TargetExchange* exchange) = 0;
  /// A stream of parts begins.
  virtual void OnStream(TargetExchange* exchange) = 0;
  virtual void OnPart(TargetExchange* exchange, const StreamEvent& part) = 0;
  /// The stream's last event arrived.
  virtual void OnStreamDone(TargetExchange* exchange,
                            const StreamEvent& last) = 0;
  /// An answer of one part arrived whole.
  virtual void OnPlainAnswer(TargetExchange* exchange,
                             const CallerAnswer& answer) = 0;
  /// The request did not run.
  /// @param target_word the target said so; otherwise it wasn't reached
  virtual void OnNotRun(TargetExchange* exchange, bool target_word,
                        Duration retry_after) = 0;
  /// The target answered with a failure, or with more than the limits allow.
  virtual void OnFailed(TargetExchange* exchange) = 0;
  /// The target answered a resume without a stream.
  virtual void OnNoStream(TargetExchange* exchange) = 0;
  /// The connection ended before the answer was whole.
  virtual void OnBroken(TargetExchange* exchange) = 0;
  /// The answer named another request.
  virtual void OnCrossed(TargetExchange* exchange) = 0;
};

/// Limits of what is taken from a target.
struct TargetExchangeLimits {
  std::size_t max_part = 0;    ///< bytes of one part
  std::size_t max_answer = 0;  ///< bytes of an answer of one part
};

/// One HTTP exchange with a target about one request: a run or a resume. Turns
/// heads, bytes and ends into what they mean.
class TargetExchange {
 public:
  enum class Kind { kRun, kResume };

  TargetExchange(Kind kind, std::uint64_t handle, RequestId id,
                 const TargetExchangeLimits& limits,
                 TargetExchangeHandler* handler);

  Kind GetKind() const { return kind_; }
  std::uint64_t Handle() const { return handle_; }
  bool Streaming() const { return streaming_; }

  /// Reports nothing more.
  void Close() { closed_ = true; }
  bool Closed() const { return closed_; }

  void OnSending();
  void OnHead(int status, const std::map<std::string, std::string>& headers);
  void OnBody(std::string_view bytes);
  void OnEnd(TargetEnd end);

 private:
  void TakeRunHead(int status,
                   const std::map<std::string, std::string>& headers);
  void BeginStream();
  void TakeEvent(const StreamEvent& event);
  void AddPlain(std::string_view bytes);

  Kind kind_;
  std::uint64_t handle_;
  RequestId id_;
  TargetExchangeLimits limits_;
  TargetExchangeHandler* handler_;
  EventStreamParser parser_;
  bool closed_ = false;
  bool streaming_ = false;
  bool done_ = false;
  CallerAnswer plain_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TARGET_EXCHANGE_H_
