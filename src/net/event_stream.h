#ifndef HORNBEAMCLEAT_SRC_NET_EVENT_STREAM_H_
#define HORNBEAMCLEAT_SRC_NET_EVENT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// One server-sent event.
struct StreamEvent {
  std::string name;  ///< of the `event` field; empty means "message"
  std::optional<std::uint64_t> id;  ///< nullopt if absent or not a number
  std::string data;                 ///< lines joined by '\n'

  bool operator==(const StreamEvent&) const = default;
};

/// Incremental parser of text/event-stream.
class EventStreamParser {
 public:
  using Take = std::function<void(const StreamEvent&)>;

  /// @param max_event_bytes greatest size of one event's fields
  explicit EventStreamParser(std::size_t max_event_bytes)
      : max_event_bytes_(max_event_bytes) {}

  /// Parses further bytes and calls `take` for each whole event with data.
  /// @throws Error with step "parse event stream" on an event too large; the
  ///   parser must not be used afterwards
  void Feed(std::string_view bytes, const Take& take);

 private:
  void TakeLine(std::string_view line, const Take& take);
  void TakeField(std::string_view name, std::string_view value);
  void CheckSize(std::size_t n) const;

  std::size_t max_event_bytes_;
  std::string partial_line_;
  bool after_return_ = false;  ///< last byte was '\r'; skip a following '\n'
  bool has_data_ = false;
  StreamEvent event_;
};

/// Bytes of `event`, its data split into lines.
std::string FormatEvent(const StreamEvent& event);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_NET_EVENT_STREAM_H_
