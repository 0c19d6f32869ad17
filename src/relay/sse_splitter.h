#ifndef HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_
#define HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_

#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Cuts a stream of server-sent events at the ends of events and remembers the
/// id of the last whole one, where another target may go on.
class SseSplitter {
 public:
  /// Adds bytes; returns the whole events that they complete, as they stood.
  std::string Feed(std::string_view bytes);

  /// Forgets the beginning of an event that will not be completed.
  void DropPartial() { pending_.clear(); }

  /// Bytes of an event that has not ended.
  const std::string& PartialEvent() const { return pending_; }

  /// Id of the last whole event; empty if none had one.
  const std::string& LastEventId() const { return last_event_id_; }

  /// Whole events so far.
  int EventCount() const { return event_count_; }

 private:
  void ParseEvent(std::string_view event);

  std::string pending_;
  std::string last_event_id_;
  int event_count_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_
