#ifndef HORNBEAMCLEAT_CONFIG_WATCH_BUFFER_H_
#define HORNBEAMCLEAT_CONFIG_WATCH_BUFFER_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace hornbeamcleat {

/// What a watch event tells.
enum class WatchEventType {
  kPut,
  kDelete,
  kBookmark,  ///< nothing changed up to the revision
};

/// Event of a watch.
struct WatchEvent {
  WatchEventType type = WatchEventType::kBookmark;
  std::uint64_t revision = 0;
  std::string kind;
  std::string name;
  std::string object;  ///< the resource's JSON; empty for kBookmark

  bool operator==(const WatchEvent&) const = default;
};

/// Answer to a watch.
struct WatchRead {
  /// Events after the asked revision are no longer kept: list anew.
  bool compacted = false;
  std::vector<WatchEvent> events;
  std::uint64_t next = 0;  ///< revision to ask from next

  bool operator==(const WatchRead&) const = default;
};

/// Bounded history of changes. A reader that follows `next` sees each change
/// once and in order, or is told that it fell behind. Not thread-safe.
class WatchBuffer {
 public:
  /// @param max_events, max_bytes bounds of what is kept
  WatchBuffer(std::size_t max_events, std::size_t max_bytes)
      : max_events_(max_events), max_bytes_(max_bytes) {}

  /// Forgets all; the history begins after `revision`.
  void Reset(std::uint64_t revision);

  /// Adds a change; revisions never fall.
  void Add(const WatchEvent& event);

  /// Says that all changes up to `revision` were added.
  void Advance(std::uint64_t revision);

  /// Events after revision `from`, about `max` of them; those of one revision
  /// stay together. If there are none but the revision rose, a bookmark.
  WatchRead Read(std::uint64_t from, std::size_t max) const;

  /// Revision up to which all changes are known.
  std::uint64_t Revision() const { return revision_; }

 private:
  void Trim();

  std::size_t max_events_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::uint64_t start_ = 0;  // changes after it are kept
  std::uint64_t revision_ = 0;
  std::deque<WatchEvent> events_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_CONFIG_WATCH_BUFFER_H_
