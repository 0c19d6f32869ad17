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
#include "src/relay/http_parser.h"

namespace hornbeamcleat {

class Clock;
class PollLoop;

/// Whole request of a caller.
struct CallerRequest {
  MessageHead head;
  std::string body;
  Time arrival;  ///< of its first byte
};

/// Where the answer to one request goes. Answers are given once, in the order
/// head, body, end.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  /// Whole answer at once.
  virtual void SendResponse(int status, std::string_view reason,
                            const HeaderList& headers,
                            std::string_view body) = 0;

  /// Begins an answer whose body follows in pieces.
  /// @param length of the body, if it is known
  virtual void BeginBody(int status, std::string_view reason,
                         const HeaderList& headers,
                         std::optional<std::uint64_t> length) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  /// The body is whole.
  virtual void EndBody() = 0;

  /// Ends the connection so that the answer shows as incomplete.
  virtual void Abort() = 0;

  /// Bytes that the caller has not taken yet.
  virtual std::size_t Unsent() const = 0;
};

/// One request at work.
class RequestHandler {
 public:
  /// Destroying it cancels the work.
  virtual ~RequestHandler() = default;

  /// The caller has taken all that was sent so far.
  virtual void OnFlushed() = 0;
};

/// Keep-alive connection of a caller: reads one request after the other and
/// hands each to a handler. Framing that two parsers could read differently
/// ends the connection.
class CallerConnection {
 public:
  struct Options {
    CallerLimits limits;
    Duration silence_limit{0};
  };
  /// What a connection asks of its owner.
  struct Delegate {
    /// Starts work on a request. The sink outlives the handler.
    std::function<std::unique_ptr<RequestHandler>(CallerRequest, ResponseSink*)>
        handle;
    std::function<Options()> options;   ///< in force now
    std::function<bool()> is_draining;  ///< answers announce the close
    std::function<bool(std::size_t)> may_buffer;  ///< memory for bodies
    std::function<void(std::string_view reason)> on_rejected;
    std::function<void()> on_closed;  ///< the owner frees the connection later
  };

  static std::unique_ptr<CallerConnection> Make(PollLoop* loop,
                                                const Clock* clock,
                                                FileDescriptor fd,
                                                Delegate delegate);

  virtual ~CallerConnection() = default;

  /// Whether a request has begun to arrive or is at work.
  virtual bool IsBusy() const = 0;

  /// Bytes held of a body that is being read.
  virtual std::size_t BufferedBytes() const = 0;

  /// Closes the connection if no request has begun to arrive.
  virtual void CloseIfIdle() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_CALLER_CONNECTION_H_
