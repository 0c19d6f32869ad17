#ifndef HORNBEAMCLEAT_SRC_RELAY_TARGET_CALL_H_
#define HORNBEAMCLEAT_SRC_RELAY_TARGET_CALL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "src/relay/http_parser.h"

namespace hornbeamcleat {

class HttpCodec;
class PollLoop;
class TargetConnectionPool;

/// How a call to a target failed.
enum class CallFailure {
  kConnectFailed,  ///< nothing was sent, so it can't have run
  kBroken,         ///< the connection ended before the answer did
  kMalformed,      ///< the answer is no HTTP or exceeds the limits
};

/// One request at one target. Answers that belong to another request are
/// dropped; bytes behind an answer end the connection.
class TargetCall {
 public:
  struct Callbacks {
    /// Asked right before the first byte is sent; false cancels the call,
    /// after which the request has not run.
    std::function<bool()> may_send;
    std::function<void(const MessageHead& head)> on_head;
    std::function<void(std::string* body)> on_body;  ///< takes the bytes
    std::function<void()> on_done;                   ///< the answer is whole
    std::function<void(CallFailure failure)> on_failure;
  };

  struct Plan {
    Address target;
    std::string request_id;
    std::string bytes;  ///< whole request
    bool is_head = false;
    bool may_reuse = false;  ///< a kept connection may be used
    Time connect_by;         ///< without a connection by then it is unreached
    Duration silence_limit{0};
    MessageLimits limits;
  };

  /// Begins the call. Callbacks run on the loop, never before this returns.
  static std::unique_ptr<TargetCall> Start(PollLoop* loop,
                                           TargetConnectionPool* pool,
                                           const HttpCodec* dialect, Plan plan,
                                           Callbacks callbacks);

  /// Cancels the call. Must not be destroyed inside one of its callbacks.
  virtual ~TargetCall() = default;

  /// Ends the call with a reset if it has not ended; no callback follows.
  virtual void Cancel() = 0;

  /// Whether a byte of the request may have left this VM.
  virtual bool MayHaveSent() const = 0;

  /// Stops or goes on taking the answer.
  virtual void SetReading(bool is_reading) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_TARGET_CALL_H_
