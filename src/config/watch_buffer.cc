#include "hornbeamcleat/config/watch_buffer.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

std::size_t SizeOf(const WatchEvent& event) {
  return sizeof(WatchEvent) + event.kind.size() + event.name.size() +
         event.object.size();
}

}  // namespace

void WatchBuffer::Reset(std::uint64_t revision) {
  events_.clear();
  bytes_ = 0;
  compacted_revision_ = revision;
  revision_ = revision;
}

void WatchBuffer::Add(const WatchEvent& event) {
  events_.push_back(event);
  bytes_ += SizeOf(event);
  Compact();
}

void WatchBuffer::Advance(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

// Drops all events of a revision together so that no reader gets a part of
// them.
void WatchBuffer::Compact() {
  while (!events_.empty() &&
         (events_.size() > max_events_ || bytes_ > max_bytes_)) {
    compacted_revision_ = events_.front().revision;
    while (!events_.empty() &&
           events_.front().revision == compacted_revision_) {
      bytes_ -= SizeOf(events_.front());
      events_.pop_front();
    }
  }
}

WatchRead WatchBuffer::Read(std::uint64_t from, std::size_t max) const {
  WatchRead out;
  out.next = std::max(from, revision_);
  if (from < compacted_revision_) {
    out.compacted = true;
    return out;
  }
  std::deque<WatchEvent>::const_iterator it = std::partition_point(
      events_.begin(), events_.end(),
      [from](const WatchEvent& event) { return event.revision <= from; });
  for (; it != events_.end() && it->revision <= revision_; ++it) {
    const bool full = out.events.size() >= max;
    if (full && it->revision != out.events.back().revision) {
      out.next = out.events.back().revision;
      return out;
    }
    out.events.push_back(*it);
  }
  if (out.events.empty() && revision_ > from) {
    out.events.push_back({WatchEventType::kBookmark, revision_, "", "", ""});
  }
  return out;
}

}  // namespace hornbeamcleat
