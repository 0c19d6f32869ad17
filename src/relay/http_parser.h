#ifndef HORNBEAMCLEAT_SRC_RELAY_HTTP_PARSER_H_
#define HORNBEAMCLEAT_SRC_RELAY_HTTP_PARSER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "src/relay/header_list.h"

namespace hornbeamcleat {

/// How a message's body is delimited.
enum class BodyFraming {
  kNone,
  kLength,
  kChunked,
  kUntilClose,
};

/// Head of a request or an answer. `status` is 0 in a request.
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

/// Bounds of one message.
struct MessageLimits {
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
};

/// Why a message was refused.
enum class ParseError { kNone, kMalformed, kHeaderTooLong, kBodyTooLong };

/// Incremental parser of one HTTP/1 message. Refuses every framing that two
/// parsers could read differently.
class HttpParser {
 public:
  /// Parser of a request.
  static std::unique_ptr<HttpParser> ForRequest(const MessageLimits& limits);
  /// Parser of an answer.
  /// @param has_no_body the request was HEAD
  static std::unique_ptr<HttpParser> ForResponse(const MessageLimits& limits,
                                                 bool has_no_body);

  virtual ~HttpParser() = default;

  /// Parses the beginning of `bytes`; returns how many were used. Stops at the
  /// end of the message or at an error.
  virtual std::size_t Feed(std::string_view bytes) = 0;

  /// The connection was closed cleanly: ends a body of kUntilClose.
  virtual void FeedEnd() = 0;

  /// Whether any byte of the message has come.
  virtual bool Started() const = 0;
  virtual bool HeadDone() const = 0;
  virtual bool Done() const = 0;
  virtual ParseError Error() const = 0;

  /// Valid once HeadDone.
  virtual const MessageHead& Head() const = 0;

  /// Body bytes not yet taken; chunk framing removed.
  virtual std::string* Body() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HTTP_PARSER_H_
