#ifndef HORNBEAMCLEAT_PLATFORM_LOG_SERVICE_H_
#define HORNBEAMCLEAT_PLATFORM_LOG_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Record in a log stream.
struct LogRecord {
  std::uint64_t offset = 0;  ///< position, starting at 1; never reused
  WallTime time;             ///< when the log service accepted it
  std::string payload;

  bool operator==(const LogRecord&) const = default;
};

/// Result of a read.
struct LogRead {
  std::uint64_t oldest = 1;  ///< oldest retained offset
  std::uint64_t next = 1;    ///< offset of the next append
  std::vector<LogRecord> records;

  bool operator==(const LogRead&) const = default;
};

/// The response to an append was lost, so the append may or may not have taken
/// effect. Callers resolve this by reading the stream.
class AppendOutcomeUnknown : public Error {
 public:
  using Error::Error;
};

/// The platform's append-only log. Calls block up to their timeout, so daemons
/// must not make them on their control or traffic threads.
class LogService {
 public:
  virtual ~LogService() = default;

  /// Appends to `stream` and returns the record's offset.
  /// @throws AppendOutcomeUnknown if the response was lost; Error if the record
  ///   was certainly not appended
  virtual std::uint64_t Append(const std::string& stream,
                               const std::string& payload) = 0;

  /// Appends `payloads` in order in a single call and returns the first offset.
  /// @throws as Append
  virtual std::uint64_t AppendBatch(
      const std::string& stream, const std::vector<std::string>& payloads) = 0;

  /// Reads up to `max` records starting at offset `from`, waiting up to `wait`
  /// for the first one. If `from` is no longer retained, reads from `oldest`.
  virtual LogRead Read(const std::string& stream, std::uint64_t from,
                       std::size_t max, Duration wait) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_PLATFORM_LOG_SERVICE_H_
