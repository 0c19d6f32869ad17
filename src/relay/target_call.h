#ifndef HORNBEAMCLEAT_SRC_RELAY_TARGET_CALL_H_
#define HORNBEAMCLEAT_SRC_RELAY_TARGET_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/target_load_report.h"
#include "hornbeamcleat/serving/target_statement.h"
#include "src/relay/http_parser.h"

namespace hornbeamcleat {

class BufferBudget;
class HttpCodec;
class PollLoop;
class TargetConnectionPool;

/// How a call to a target failed.
enum class CallFailure {
  kConnectFailed,  ///< nothing was sent, so it was not executed
  kReset,          ///< the connection was reset or timed out
  kTruncated,      ///< the target closed before the response was complete
  kMalformed,      ///< the response is not HTTP or exceeds the limits
  kUnidentified,   ///< on a kept connection, it may answer another request
};

/// Name of a failure in logs and metrics.
const char* CallFailureName(CallFailure failure);

/// One request to one target. Responses to another request are discarded; bytes
/// after the response end the connection. It is kept only if the response bears
/// the request's ID, or the request has none.
///
/// A response that ends with its connection while the request is still being
/// sent is complete once the target has taken the rest of the request: a target
/// that has finished early reads on before it closes, one in trouble resets the
/// connection.
class TargetCall {
 public:
  struct Callbacks {
    /// Called immediately before the first byte is sent. False cancels the
    /// call, so that the request is not executed.
    std::function<bool()> may_send;
    /// The target states something of itself, possibly in a response to another
    /// request, or its response to this one states nothing. May be unset.
    /// Called before on_head; must not end the call.
    /// @param is_signed_response whether it is the signed response to this
    ///   request
    std::function<void(const TargetStatement& statement,
                       bool is_signed_response)>
        on_statement;
    /// The response to this request states the target's load; nullopt if that
    /// can't be read. May be unset. Called before on_head; must not end the
    /// call.
    std::function<void(const std::optional<TargetLoadReport>& load,
                       bool is_invalid)>
        on_load;
    std::function<void(const MessageHead& head)> on_head;
    std::function<void(std::string* body)> on_body;  ///< consumes the bytes
    std::function<void()> on_done;  ///< the response is complete
    std::function<void(CallFailure failure)> on_failure;
  };

  struct Plan {
    Address target;
    std::string request_id;
    std::string bytes;  ///< serialized request
    bool is_head = false;
    bool may_reuse = false;  ///< a pooled connection may be used
    Time connect_by;         ///< deadline for the connect
    Duration user_timeout{0};
    MessageLimits limits;
    /// Counts the bytes of an incomplete head; may be null.
    std::shared_ptr<BufferBudget> budget;
  };

  /// Starts the call. Callbacks run on the loop, never before this returns.
  static std::unique_ptr<TargetCall> Start(PollLoop* loop,
                                           TargetConnectionPool* pool,
                                           const HttpCodec* codec, Plan plan,
                                           Callbacks callbacks);

  /// Cancels the call. Must not be destroyed inside one of its callbacks.
  virtual ~TargetCall() = default;

  /// Resets the connection if the call is in progress. No callback follows.
  virtual void Cancel() = 0;

  /// Whether any byte of the request may have been sent.
  virtual bool MayHaveSent() const = 0;

  /// Whether all of the response was received, but the target has not taken all
  /// of the request.
  virtual bool IsAwaitingDelivery() const = 0;

  /// Pauses or resumes reading the response.
  virtual void SetReading(bool is_reading) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_TARGET_CALL_H_
