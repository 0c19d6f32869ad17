#ifndef HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_
#define HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_

#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Splits a stream of server-sent events at event boundaries and tracks the id
/// of the last complete event, from which another target can resume.
class SseSplitter {
 public:
  /// Adds bytes and returns the events that they complete, unmodified.
  std::string Feed(std::string_view bytes);

  /// Discards an incomplete event.
  void DropPartial() { pending_.clear(); }

  /// Bytes of an incomplete event.
  const std::string& PartialEvent() const { return pending_; }

  /// Id of the last complete event that had one; empty if none.
  const std::string& LastEventId() const { return last_event_id_; }

  /// Number of complete events so far.
  int EventCount() const { return event_count_; }

 private:
  void ParseEvent(std::string_view event);

  std::string pending_;
  std::string last_event_id_;
  int event_count_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_SSE_SPLITTER_H_
