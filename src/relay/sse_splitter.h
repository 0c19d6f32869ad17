#ifndef HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_
#define HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Splits a stream of server-sent events at event boundaries and tracks the id
/// of the last complete event, from which another target can resume. Lines may
/// end with LF, CR or CRLF, also mixed.
class SseSplitter {
 public:
  /// Adds bytes and returns the events that they complete, unmodified.
  std::string Feed(std::string_view bytes);

  /// Adds bytes that are forwarded elsewhere; only their events are tracked.
  void Track(std::string_view bytes) { Scan(bytes); }

  /// Discards an incomplete event.
  void DropPartial();

  /// Returns the bytes that are held after the last complete event.
  std::string TakeRest();

  /// Held bytes after the last complete event.
  const std::string& PartialEvent() const { return pending_; }

  /// Number of bytes since the last complete event, held or not.
  std::size_t PartialBytes() const { return partial_bytes_; }

  /// Whether the stream ends within an event or a line. Complete comment lines
  /// after the last event don't begin another one. Where lines end with CRLF, a
  /// final CR lacks its LF.
  bool IsInsideEvent() const {
    return has_fields_ || is_inside_line_ || (is_after_return_ && has_crlf_);
  }

  /// Id of the last complete event that had one; empty if none.
  const std::string& LastEventId() const { return last_event_id_; }

  /// Number of complete events so far.
  int EventCount() const { return event_count_; }

 private:
  /// Returns the size of the prefix of `bytes` that ends with its last event
  /// boundary; 0 without one.
  std::size_t Scan(std::string_view bytes);
  void AddToLine(std::string_view bytes);
  /// Returns whether the line was blank, which ends an event.
  bool EndLine();

  std::string pending_;
  std::size_t partial_bytes_ = 0;
  std::string line_;  ///< start of the current line
  bool is_inside_line_ = false;
  bool is_after_return_ = false;  ///< the last byte was CR; LF may follow
  bool has_crlf_ = false;         ///< a line ended with CRLF
  bool is_at_boundary_ = false;   ///< the last line was blank
  bool has_fields_ = false;       ///< of the incomplete event
  std::optional<std::string> event_id_;  ///< of the incomplete event
  std::string last_event_id_;
  int event_count_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_
