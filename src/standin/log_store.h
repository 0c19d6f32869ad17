#ifndef HORNBEAMCLEAT_SRC_STANDIN_LOG_STORE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "hornbeamcleat/platform/log_service.h"

namespace hornbeamcleat {

/// How long records of a stream are kept.
struct Retention {
  std::size_t records = 100'000;
  Duration age = std::chrono::hours(24);

  bool operator==(const Retention&) const = default;
};

/// Append-only streams in memory. Payloads are opaque text.
class LogStore {
 public:
  /// Appends in order and returns the first offset.
  std::uint64_t Append(const std::string& stream,
                       const std::vector<std::string>& payloads, WallTime now,
                       const Retention& retention);

  /// Reads up to `max` records from offset `from`, or from the oldest kept.
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
