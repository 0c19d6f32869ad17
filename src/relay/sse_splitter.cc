#include "src/relay/sse_splitter.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

// Position after the blank line that ends the first event; npos if none ends.
std::size_t FindEventEnd(std::string_view text) {
  const std::size_t plain = text.find("\n\n");
  const std::size_t crlf = text.find("\r\n\r\n");
  if (plain == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < crlf ? plain + 2 : crlf + 4;
}

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  pending_.append(bytes);
  std::size_t end = 0;
  while (true) {
    const std::string_view all = pending_;
    const std::string_view rest = all.substr(end);
    const std::size_t n = FindEventEnd(rest);
    if (n == std::string_view::npos) {
      break;
    }
    ParseEvent(rest.substr(0, n));
    end += n;
  }
  std::string whole = pending_.substr(0, end);
  pending_.erase(0, end);
  return whole;
}

void SseSplitter::ParseEvent(std::string_view event) {
  ++event_count_;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      last_event_id_ = line;
    }
  }
}

}  // namespace hornbeamcleat
