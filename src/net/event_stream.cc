#include "src/net/event_stream.h"

#include <fmt/format.h>

#include <charconv>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

std::optional<std::uint64_t> ParseId(std::string_view text) {
  std::uint64_t n = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

}  // namespace

void EventStreamParser::Feed(std::string_view bytes, const Take& take) {
  while (!bytes.empty()) {
    if (after_return_ && bytes.front() == '\n') {
      bytes.remove_prefix(1);
    }
    after_return_ = false;
    const std::size_t n = bytes.find_first_of("\r\n");
    if (n == std::string_view::npos) {
      CheckSize(partial_line_.size() + bytes.size());
      partial_line_ += bytes;
      return;
    }
    after_return_ = bytes[n] == '\r';
    if (partial_line_.empty()) {
      TakeLine(bytes.substr(0, n), take);
    } else {
      partial_line_ += bytes.substr(0, n);
      TakeLine(partial_line_, take);
      partial_line_.clear();
    }
    bytes.remove_prefix(n + 1);
  }
}

void EventStreamParser::TakeLine(std::string_view line, const Take& take) {
  if (line.empty()) {
    if (has_data_) {
      take(event_);
    }
    has_data_ = false;
    event_ = StreamEvent{};
    return;
  }
  CheckSize(line.size());
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    TakeField(line, "");
    return;
  }
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  TakeField(line.substr(0, colon), value);
}

void EventStreamParser::TakeField(std::string_view name,
                                  std::string_view value) {
  if (name == "data") {
    CheckSize(event_.data.size() + value.size());
    if (has_data_) {
      event_.data += '\n';
    }
    event_.data += value;
    has_data_ = true;
  } else if (name == "id") {
    event_.id = ParseId(value);
  } else if (name == "event") {
    event_.name = value;
  }
}

void EventStreamParser::CheckSize(std::size_t n) const {
  if (n > max_event_bytes_) {
    throw Error(
        "parse event stream", "",
        fmt::format("an event is larger than {} bytes", max_event_bytes_));
  }
}

std::string FormatEvent(const StreamEvent& event) {
  std::string text;
  text.reserve(event.data.size() + 48);
  if (!event.name.empty()) {
    text += "event: ";
    text += event.name;
    text += '\n';
  }
  if (event.id) {
    text += "id: ";
    text += std::to_string(*event.id);
    text += '\n';
  }
  std::string_view rest = event.data;
  while (true) {
    const std::size_t n = rest.find('\n');
    text += "data: ";
    text += rest.substr(0, n);
    text += '\n';
    if (n == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(n + 1);
  }
  text += '\n';
  return text;
}

}  // namespace hornbeamcleat
