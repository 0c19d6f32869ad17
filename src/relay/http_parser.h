#ifndef HORNBEAMCLEAT_SRC_RELAY_HTTP_PARSER_H_
#define HORNBEAMCLEAT_SRC_RELAY_HTTP_PARSER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "src/relay/header_list.h"

namespace hornbeamcleat {

/// How the body of a message is delimited.
enum class BodyFraming {
  kNone,
  kLength,
  kChunked,
  kUntilClose,
};

/// Name of a framing in logs and metrics.
const char* BodyFramingName(BodyFraming framing);

/// Head of a request or a response. `status` is 0 in a request.
struct MessageHead {
  std::string method;
  std::string target;  ///< as sent, not decoded
  int status = 0;
  std::string reason;
  int minor_version = 1;  ///< of HTTP/1
  bool keep_alive = true;
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t content_length = 0;  ///< of kLength
  HeaderList headers;
};

/// Bytes that a head takes in memory. Short fields take many times their size
/// on the wire.
std::size_t MemoryOf(const MessageHead& head);

/// Size limits of a message.
struct MessageLimits {
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
};

/// Reason for rejecting a message.
enum class ParseError { kNone, kMalformed, kHeaderTooLong, kBodyTooLong };

/// Incremental parser of one HTTP/1 message. Rejects ambiguous framing, since
/// two parsers could read it differently (request smuggling).
class HttpParser {
 public:
  static std::unique_ptr<HttpParser> ForRequest(const MessageLimits& limits);
  /// @param has_no_body whether this responds to a HEAD request
  static std::unique_ptr<HttpParser> ForResponse(const MessageLimits& limits,
                                                 bool has_no_body);

  virtual ~HttpParser() = default;

  /// Parses `bytes` up to the end of the message or an error. Returns the
  /// number of bytes consumed.
  virtual std::size_t Feed(std::string_view bytes) = 0;

  /// Handles an orderly close of the connection, which ends a kUntilClose body.
  virtual void FeedEnd() = 0;

  /// Whether any byte of the message was received.
  virtual bool Started() const = 0;
  virtual bool HeadDone() const = 0;
  virtual bool Done() const = 0;
  virtual ParseError Error() const = 0;

  /// Complete once HeadDone; before, it holds the fields read so far.
  virtual const MessageHead& Head() const = 0;

  /// Moves the head out; to be called once, when the message is done.
  virtual MessageHead TakeHead() = 0;

  /// Decoded body bytes that the user has not removed yet.
  virtual std::string* Body() = 0;

  /// Bytes that the message takes in memory so far.
  virtual std::size_t HeldBytes() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HTTP_PARSER_H_
