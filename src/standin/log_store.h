#ifndef HORNBEAMCLEAT_SRC_STANDIN_LOG_STORE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "hornbeamcleat/platform/log_service.h"

namespace hornbeamcleat {

/// Limits on the records kept per stream.
struct Retention {
  std::size_t records = 100'000;
  Duration age = std::chrono::hours(24);

  bool operator==(const Retention&) const = default;
};

/// In-memory append-only log streams with opaque text payloads.
class LogStore {
 public:
  /// Appends `payloads` in order and returns the offset of the first.
  std::uint64_t Append(const std::string& stream,
                       const std::vector<std::string>& payloads, WallTime now,
                       const Retention& retention);

  /// Reads up to `max` records starting at offset `from`, or at the oldest
  /// retained one if that is later.
  LogRead Read(const std::string& stream, std::uint64_t from, std::size_t max,
               WallTime now, const Retention& retention);

 private:
  struct Stream {
    std::uint64_t next = 1;
    std::deque<LogRecord> records;
  };

  static void Expire(Stream* stream, WallTime now, const Retention& retention);

  std::map<std::string, Stream> streams_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_LOG_STORE_H_
