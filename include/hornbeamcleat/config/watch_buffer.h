#ifndef HORNBEAMCLEAT_CONFIG_WATCH_BUFFER_H_
#define HORNBEAMCLEAT_CONFIG_WATCH_BUFFER_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace hornbeamcleat {

/// Type of a watch event.
enum class WatchEventType {
  kPut,
  kDelete,
  kBookmark,  ///< no further changes up to the revision
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

/// Result of a read of a watch.
struct WatchRead {
  /// Events after the requested revision were dropped; list again.
  bool compacted = false;
  std::vector<WatchEvent> events;
  std::uint64_t next = 0;  ///< revision to read from next

  bool operator==(const WatchRead&) const = default;
};

/// Bounded history of changes. A reader that continues from `next` sees each
/// change once and in order, or `compacted` if it fell behind. Not thread-safe.
class WatchBuffer {
 public:
  /// @param max_events, max_bytes limits of the retained history
  WatchBuffer(std::size_t max_events, std::size_t max_bytes)
      : max_events_(max_events), max_bytes_(max_bytes) {}

  /// Clears the history, which then starts after `revision`.
  void Reset(std::uint64_t revision);

  /// Adds a change. Revisions must not decrease.
  void Add(const WatchEvent& event);

  /// Declares that all changes up to `revision` have been added.
  void Advance(std::uint64_t revision);

  /// Returns about `max` events after revision `from`; the events of a revision
  /// are not split. Returns a bookmark if there are none but Revision() is
  /// above `from`.
  WatchRead Read(std::uint64_t from, std::size_t max) const;

  /// Revision up to which all changes have been added.
  std::uint64_t Revision() const { return revision_; }

 private:
  void Compact();

  std::size_t max_events_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::uint64_t compacted_revision_ = 0;  // changes after it are retained
  std::uint64_t revision_ = 0;
  std::deque<WatchEvent> events_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_CONFIG_WATCH_BUFFER_H_
