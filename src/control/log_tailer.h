#ifndef HORNBEAMCLEAT_SRC_CONTROL_LOG_TAILER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_LOG_TAILER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "hornbeamcleat/platform/log_service.h"

namespace hornbeamcleat {

/// Thread that reads one stream of the log as it grows.
class LogTailer {
 public:
  /// Takes a read that began at offset `from`, on the tailer's thread, and
  /// returns the offset to go on from.
  using Sink =
      std::function<std::uint64_t(std::uint64_t from, const LogRead& read)>;

  /// @param log used by this thread alone
  /// @param from offset to begin with
  LogTailer(std::unique_ptr<LogService> log, std::string stream,
            std::uint64_t from, Sink sink);

  /// Waits for the read under way to end.
  ~LogTailer();

  LogTailer(const LogTailer&) = delete;
  LogTailer& operator=(const LogTailer&) = delete;

 private:
  void Run();

  std::unique_ptr<LogService> log_;
  std::string stream_;
  std::uint64_t next_;
  Sink sink_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_LOG_TAILER_H_
