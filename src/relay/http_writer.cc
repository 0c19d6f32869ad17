#include "src/relay/http_writer.h"

#include <fmt/format.h>

#include <boost/beast/http/status.hpp>
#include <iterator>

namespace hornbeamcleat {
namespace {

void AppendFields(const HeaderList& headers, std::string* out) {
  for (const HeaderField& field : headers) {
    out->append(field.name).append(": ").append(field.value).append("\r\n");
  }
}

}  // namespace

std::string_view ReasonPhrase(int status) {
  const boost::beast::string_view reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

std::string FormatRequest(std::string_view method, std::string_view target,
                          const HeaderList& headers, std::string_view body,
                          bool has_body) {
  std::string out;
  out.reserve(512 + body.size());
  fmt::format_to(std::back_inserter(out), "{} {} HTTP/1.1\r\n", method, target);
  AppendFields(headers, &out);
  if (has_body) {
    fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n",
                   body.size());
  }
  out.append("\r\n").append(body);
  return out;
}

std::string FormatResponseHead(int status, std::string_view reason,
                               const HeaderList& headers,
                               const ResponseFraming& framing) {
  std::string out;
  fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", status,
                 reason.empty() ? ReasonPhrase(status) : reason);
  AppendFields(headers, &out);
  if (framing.length.has_value()) {
    fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n",
                   *framing.length);
  } else if (framing.is_chunked) {
    out.append("Transfer-Encoding: chunked\r\n");
  }
  if (framing.closes) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  return out;
}

std::string FormatChunk(std::string_view bytes) {
  if (bytes.empty()) {
    return {};
  }
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

}  // namespace hornbeamcleat
