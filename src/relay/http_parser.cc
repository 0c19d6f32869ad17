#include "src/relay/http_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>
#include <utility>

namespace hornbeamcleat {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Range of valid status codes (RFC 9110, 15). Others are internal to some
/// implementations, and many clients can't read them.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

std::string ToString(beast::string_view text) {
  return std::string(text.data(), text.size());
}

template <bool kIsRequest>
class BeastParser : public http::basic_parser<kIsRequest> {
  using Base = http::basic_parser<kIsRequest>;

 public:
  MessageHead head;
  std::string body;
  /// Set in addition to the error code, since Beast ignores an error of
  /// on_header_impl on a chunked message.
  bool is_refused = false;
  std::size_t max_field_bytes = 0;  ///< of the head and the trailers
  std::size_t received_field_bytes = 0;
  std::size_t held_field_bytes = 0;  ///< in memory

 private:
  /// A colon and the end of the line.
  static constexpr std::size_t kFieldOverhead = 3;

  // The overridden functions are named by Beast.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(http::verb, beast::string_view method,
                       beast::string_view target, int version,
                       beast::error_code& ec) override {
    ec = {};
    head.method = ToString(method);
    head.target = ToString(target);
    head.minor_version = version % 10;
  }

  void on_response_impl(int status, beast::string_view reason, int version,
                        beast::error_code& ec) override {
    if (status < kMinStatus || status > kMaxStatus) {
      ec = http::error::bad_status;
      return;
    }
    ec = {};
    head.status = status;
    head.reason = ToString(reason);
    head.minor_version = version % 10;
  }

  void on_field_impl(http::field, beast::string_view name,
                     beast::string_view value, beast::error_code& ec) override {
    ec = {};
    // Beast limits only what it is fed at once, and no trailers.
    received_field_bytes += name.size() + value.size() + kFieldOverhead;
    if (received_field_bytes > max_field_bytes) {
      ec = http::error::header_limit;
      return;
    }
    head.headers.push_back({ToString(name), ToString(value)});
    held_field_bytes += sizeof(HeaderField) + name.size() + value.size();
  }

  void on_header_impl(beast::error_code& ec) override {
    ec = {};
    head.keep_alive = this->keep_alive();
    const std::string* coding = FindHeader(head.headers, "Transfer-Encoding");
    // Beast ignores the body of an unknown transfer coding.
    if (coding != nullptr &&
        (!HeaderNamesEqual(*coding, "chunked") ||
         CountHeader(head.headers, "Transfer-Encoding") != 1)) {
      ec = http::error::bad_transfer_encoding;
      is_refused = true;
      return;
    }
    if (kIsRequest && CountHeader(head.headers, "Host") != 1) {
      ec = http::error::bad_field;
      is_refused = true;
      return;
    }
    if (this->chunked()) {
      head.framing = BodyFraming::kChunked;
    } else if (this->content_length().has_value()) {
      head.framing = BodyFraming::kLength;
      head.content_length = *this->content_length();
    } else if (!kIsRequest && this->need_eof()) {
      head.framing = BodyFraming::kUntilClose;
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         beast::error_code& ec) override {
    ec = {};
  }

  std::size_t on_body_impl(beast::string_view bytes,
                           beast::error_code& ec) override {
    ec = {};
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, beast::string_view,
                            beast::error_code& ec) override {
    ec = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes,
                                 beast::error_code& ec) override {
    return on_body_impl(bytes, ec);
  }

  void on_finish_impl(beast::error_code& ec) override { ec = {}; }
  // NOLINTEND(readability-identifier-naming)
};

ParseError Classify(const beast::error_code& ec) {
  if (ec == http::error::header_limit) {
    return ParseError::kHeaderTooLong;
  }
  if (ec == http::error::body_limit) {
    return ParseError::kBodyTooLong;
  }
  return ParseError::kMalformed;
}

template <bool kIsRequest>
class BeastHttpParser : public HttpParser {
 public:
  BeastHttpParser(const MessageLimits& limits, bool has_no_body)
      : max_header_bytes_(limits.max_header_bytes) {
    parser_.eager(true);
    parser_.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser_.body_limit(limits.max_body_bytes);
    parser_.max_field_bytes = limits.max_header_bytes;
    if constexpr (!kIsRequest) {
      parser_.skip(has_no_body);
    }
  }

  // Beast requires a complete line in one buffer, so an incomplete one is kept.
  // Whatever is complete is parsed where it is.
  std::size_t Feed(std::string_view bytes) override {
    if (bytes.empty() || Done() || error_ != ParseError::kNone) {
      return 0;
    }
    started_ = true;
    const std::size_t pending_before = pending_.size();
    std::string_view input = bytes;
    if (pending_before > 0) {
      pending_.append(bytes);
      input = pending_;
    }
    std::size_t used = 0;
    while (used < input.size() && !Done()) {
      beast::error_code ec;
      const std::size_t n = parser_.put(
          boost::asio::buffer(input.data() + used, input.size() - used), ec);
      used += n;
      if (parser_.is_refused) {
        error_ = ParseError::kMalformed;
        break;
      }
      if (ec == http::error::need_more) {
        if (n == 0) {
          break;
        }
        continue;
      }
      if (ec) {
        error_ = Classify(ec);
        break;
      }
    }
    // Trailers add fields to a complete head.
    if (HeadDone() && (head_bytes_ == 0 || Done())) {
      head_bytes_ = MemoryOf(parser_.head);
    }
    if (error_ == ParseError::kNone && Done()) {
      std::string().swap(pending_);
      return used > pending_before ? used - pending_before : 0;
    }
    if (used > 0 || pending_before == 0) {
      // A copy of the rest, so that no more than the rest is held.
      pending_ = std::string(input.substr(used));
    }
    CheckPending();
    return bytes.size();
  }

  void FeedEnd() override {
    beast::error_code ec;
    if (Done() || error_ != ParseError::kNone) {
      return;
    }
    if (!parser_.got_some()) {
      return;
    }
    parser_.put_eof(ec);
    if (ec) {
      error_ = ParseError::kMalformed;
    }
  }

  bool Started() const override { return started_; }
  bool HeadDone() const override { return parser_.is_header_done(); }
  bool Done() const override { return parser_.is_done(); }
  ParseError Error() const override { return error_; }
  const MessageHead& Head() const override { return parser_.head; }
  MessageHead TakeHead() override {
    head_bytes_ = 0;
    parser_.held_field_bytes = 0;
    return std::move(parser_.head);
  }
  std::string* Body() override { return &parser_.body; }
  std::size_t HeldBytes() const override {
    return pending_.size() + parser_.body.size() +
           std::max(head_bytes_, parser_.held_field_bytes);
  }

 private:
  // Bytes are kept while a line of the head, a chunk's size or the trailers are
  // incomplete. Beast limits only those of the head.
  void CheckPending() {
    if (error_ == ParseError::kNone && pending_.size() > max_header_bytes_) {
      error_ = HeadDone() ? ParseError::kMalformed : ParseError::kHeaderTooLong;
    }
  }

  const std::size_t max_header_bytes_;
  BeastParser<kIsRequest> parser_;
  std::string pending_;
  std::size_t head_bytes_ = 0;  ///< in memory, once the head is complete
  bool started_ = false;
  ParseError error_ = ParseError::kNone;
};

}  // namespace

const char* BodyFramingName(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kNone:
      return "none";
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kUntilClose:
      return "until_close";
  }
  return "unknown";
}

std::size_t MemoryOf(const MessageHead& head) {
  // Short strings are part of the object.
  const std::size_t inline_capacity = std::string().capacity();
  const auto heap = [inline_capacity](const std::string& text) {
    return text.capacity() > inline_capacity ? text.capacity() : 0;
  };
  std::size_t bytes = heap(head.target) + heap(head.method) +
                      head.headers.capacity() * sizeof(HeaderField);
  for (const HeaderField& field : head.headers) {
    bytes += heap(field.name) + heap(field.value);
  }
  return bytes;
}

std::unique_ptr<HttpParser> HttpParser::ForRequest(
    const MessageLimits& limits) {
  return std::make_unique<BeastHttpParser<true>>(limits, false);
}

std::unique_ptr<HttpParser> HttpParser::ForResponse(const MessageLimits& limits,
                                                    bool has_no_body) {
  return std::make_unique<BeastHttpParser<false>>(limits, has_no_body);
}

}  // namespace hornbeamcleat
