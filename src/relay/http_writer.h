#ifndef HORNBEAMCLEAT_SRC_RELAY_HTTP_WRITER_H_
#define HORNBEAMCLEAT_SRC_RELAY_HTTP_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/relay/header_list.h"

namespace hornbeamcleat {

/// Standard reason phrase of a status, or "Status".
std::string_view ReasonPhrase(int status);

/// Bytes of a request with a body of known length. Framing headers must not be
/// in `headers`.
/// @param has_body false leaves out the length of an empty body
std::string FormatRequest(std::string_view method, std::string_view target,
                          const HeaderList& headers, std::string_view body,
                          bool has_body);

/// Framing and connection fields of an answer.
struct ResponseFraming {
  std::optional<std::uint64_t> length;  ///< nullopt: chunked or until close
  bool is_chunked = false;
  bool closes = false;  ///< the connection ends after this answer
};

/// Head of an answer. Framing headers must not be in `headers`.
std::string FormatResponseHead(int status, std::string_view reason,
                               const HeaderList& headers,
                               const ResponseFraming& framing);

/// One chunk of a chunked body; empty bytes give nothing.
std::string FormatChunk(std::string_view bytes);

/// End of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HTTP_WRITER_H_
