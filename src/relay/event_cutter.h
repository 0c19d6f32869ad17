#ifndef HORNBEAMCLEAT_SRC_RELAY_EVENT_CUTTER_H_
#define HORNBEAMCLEAT_SRC_RELAY_EVENT_CUTTER_H_

#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Cuts a stream of server-sent events at the ends of events and remembers the
/// id of the last whole one, where another target may go on.
class EventCutter {
 public:
  /// Adds bytes; returns the whole events that they complete, as they stood.
  std::string Feed(std::string_view bytes);

  /// Forgets the beginning of an event that will not be completed.
  void DropPartial() { pending_.clear(); }

  /// Bytes of an event that has not ended.
  const std::string& Partial() const { return pending_; }

  /// Id of the last whole event; empty if none had one.
  const std::string& LastId() const { return last_id_; }

  /// Whole events so far.
  int Events() const { return events_; }

 private:
  void TakeEvent(std::string_view event);

  std::string pending_;
  std::string last_id_;
  int events_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_EVENT_CUTTER_H_
