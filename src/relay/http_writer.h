#ifndef HORNBEAMCLEAT_SRC_RELAY_HTTP_WRITER_H_
#define HORNBEAMCLEAT_SRC_RELAY_HTTP_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/relay/header_list.h"

namespace hornbeamcleat {

/// Standard reason phrase of a status.
std::string_view ReasonPhrase(int status);

/// Formats a request whose body length is known. `headers` must not contain
/// framing headers.
/// @param has_body if false, Content-Length is omitted
std::string FormatRequest(std::string_view method, std::string_view target,
                          const HeaderList& headers, std::string_view body,
                          bool has_body);

/// Framing and connection options of a response.
struct ResponseFraming {
  std::optional<std::uint64_t> length;  ///< nullopt: chunked or until close
  bool is_chunked = false;
  bool closes = false;  ///< the connection is closed after this response
};

/// Formats the head of a response. `headers` must not contain framing headers.
std::string FormatResponseHead(int status, std::string_view reason,
                               const HeaderList& headers,
                               const ResponseFraming& framing);

/// Formats one chunk of a chunked body; empty if `bytes` is empty.
std::string FormatChunk(std::string_view bytes);

/// End of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HTTP_WRITER_H_
