#ifndef HORNBEAMCLEAT_SRC_RELAY_CALLER_CONNECTION_H_
#define HORNBEAMCLEAT_SRC_RELAY_CALLER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "src/net/file_descriptor.h"
#include "src/relay/buffer_budget.h"
#include "src/relay/http_parser.h"

namespace hornbeamcleat {

class Clock;
class PollLoop;

/// Complete request of a caller.
struct CallerRequest {
  MessageHead head;
  std::string body;
  Time arrival;  ///< of its first byte
};

/// Receives the response to one request: either one SendResponse call, or
/// BeginBody, any number of SendBody calls, and EndBody.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  /// Sends a complete response.
  virtual void SendResponse(int status, std::string_view reason,
                            const HeaderList& headers,
                            std::string_view body) = 0;

  /// Sends the head of a response whose body follows in parts.
  /// @param length length of the body, if known
  virtual void BeginBody(int status, std::string_view reason,
                         const HeaderList& headers,
                         std::optional<std::uint64_t> length) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  /// Ends the body.
  virtual void EndBody() = 0;

  /// Resets the connection, so that the caller sees an incomplete response.
  virtual void Abort() = 0;

  /// Bytes that the caller's socket has not accepted yet.
  virtual std::size_t Unsent() const = 0;
};

/// Request in progress.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  /// The connection is closed: cancels the request if it is still in progress.
  /// The sink must not be used from now on.
  virtual void Cancel() {}

  /// The process exits shortly: answers the request if no response has begun.
  virtual void EndBeforeExit() {}

  /// The output buffer of the caller's connection is empty.
  virtual void OnFlushed() = 0;
};

/// Why a connection is closed in favor of others.
enum class CloseCause {
  kStuck,       ///< connections ran out
  kMemory,      ///< what callers hold exceeds its limit
  kSlowReader,  ///< requests wait while its target's slot is held
};

/// Name of a cause in logs and metrics.
const char* CloseCauseName(CloseCause cause);

/// What a connection has achieved lately, by which stuck ones are found.
struct CallerProgress {
  enum class Kind {
    kInProgress,  ///< its request is being processed; never closed for others
    kReceiving,   ///< accepted, or in the middle of a request
    kIdle,        ///< between two requests
    kSending,     ///< its response is not sent yet
    kEnding,      ///< the last response is sent
  };
  Kind kind = Kind::kInProgress;
  Duration since{0};      ///< length of the window; kIdle: time without use
  std::size_t bytes = 0;  ///< received or sent in the window
  bool is_target_done = true;  ///< kSending: the response is complete here
};

/// Keep-alive connection of a caller: reads requests one at a time and passes
/// each to a handler. The next request is parsed once the previous response is
/// sent, so that a caller that doesn't read responses can't pile them up.
/// Ambiguous framing ends the connection, since two parsers could read it
/// differently (request smuggling).
class CallerConnection {
 public:
  struct Options {
    CallerLimits limits;
    Duration user_timeout{0};
  };
  /// Hooks of the connection's owner.
  struct Delegate {
    /// Starts to process a request. The sink outlives the handler.
    std::function<std::unique_ptr<RequestHandler>(CallerRequest, ResponseSink*)>
        handle;
    std::function<Options()> options;   ///< current values
    std::function<bool()> is_draining;  ///< responses announce the close
    /// Limit of request bodies beside the budget; may be unset.
    std::function<bool(std::size_t)> may_buffer;
    /// What callers hold together, on all listeners; may be null.
    std::shared_ptr<BufferBudget> budget;
    std::function<void(std::string_view reason)> on_rejected;
    /// The caller left or stopped reading before its response was sent.
    std::function<void(std::size_t unsent)> on_response_cut;
    /// The connection is closed in favor of others; may be unset.
    std::function<void(CloseCause cause)> on_evicted;
    std::function<void()> on_closed;  ///< the owner frees the connection later
  };

  static std::unique_ptr<CallerConnection> Make(PollLoop* loop,
                                                const Clock* clock,
                                                FileDescriptor fd,
                                                Delegate delegate);

  virtual ~CallerConnection() = default;

  /// Whether a request is being received or processed, or its response is not
  /// sent yet.
  virtual bool IsBusy() const = 0;

  /// Progress in a window that ends now.
  virtual CallerProgress Progress(Time now) = 0;

  /// Closes the connection in favor of others.
  virtual void Evict(CloseCause cause) = 0;

  /// Closes the connection if no request is being received or processed.
  virtual void CloseIfIdle() = 0;

  /// Lets the request in progress be answered before the process exits.
  virtual void EndBeforeExit() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_CALLER_CONNECTION_H_
