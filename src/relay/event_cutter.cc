#include "src/relay/event_cutter.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

// End of the first event in `text`, behind its empty line; npos if none ends.
std::size_t EventEnd(std::string_view text) {
  const std::size_t plain = text.find("\n\n");
  const std::size_t crlf = text.find("\r\n\r\n");
  if (plain == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < crlf ? plain + 2 : crlf + 4;
}

}  // namespace

std::string EventCutter::Feed(std::string_view bytes) {
  pending_.append(bytes);
  std::size_t end = 0;
  while (true) {
    const std::string_view all = pending_;
    const std::string_view rest = all.substr(end);
    const std::size_t n = EventEnd(rest);
    if (n == std::string_view::npos) {
      break;
    }
    TakeEvent(rest.substr(0, n));
    end += n;
  }
  std::string whole = pending_.substr(0, end);
  pending_.erase(0, end);
  return whole;
}

void EventCutter::TakeEvent(std::string_view event) {
  ++events_;
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
      last_id_ = line;
    }
  }
}

}  // namespace hornbeamcleat
