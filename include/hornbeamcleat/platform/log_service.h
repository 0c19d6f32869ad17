#ifndef HORNBEAMCLEAT_PLATFORM_LOG_SERVICE_H_
#define HORNBEAMCLEAT_PLATFORM_LOG_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Record of a log stream.
struct LogRecord {
  std::uint64_t offset = 0;  ///< position, from 1, never reused
  WallTime time;             ///< when the log service took it
  std::string payload;

  bool operator==(const LogRecord&) const = default;
};

/// Answer to a read.
struct LogRead {
  std::uint64_t oldest = 1;  ///< oldest offset still kept
  std::uint64_t next = 1;    ///< offset that the next append will get
  std::vector<LogRecord> records;

  bool operator==(const LogRead&) const = default;
};

/// An append whose answer was lost: it may or may not have taken effect. The
/// caller finds out by reading.
class AppendUnknown : public Error {
 public:
  using Error::Error;
};

/// The platform's append-only log. Calls block up to their timeout; daemons
/// make them off their control and traffic threads.
class LogService {
 public:
  virtual ~LogService() = default;

  /// Appends to `stream` and returns the record's offset.
  /// @throws AppendUnknown if the answer was lost; Error if surely not done
  virtual std::uint64_t Append(const std::string& stream,
                               const std::string& payload) = 0;

  /// Appends `payloads` in order as one call and returns the first offset.
  /// @throws as Append
  virtual std::uint64_t AppendBatch(
      const std::string& stream, const std::vector<std::string>& payloads) = 0;

  /// Reads up to `max` records from offset `from`, waiting up to `wait` for
  /// the first one. If `from` has expired, reading starts at `oldest`.
  virtual LogRead Read(const std::string& stream, std::uint64_t from,
                       std::size_t max, Duration wait) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_PLATFORM_LOG_SERVICE_H_
