#ifndef HORNBEAMCLEAT_SRC_CONTROL_LOG_TAILER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_LOG_TAILER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "hornbeamcleat/platform/log_service.h"

namespace hornbeamcleat {

/// Follows one stream of the log on a thread of its own.
class LogTailer {
 public:
  /// Handles a read that began at offset `from` and returns the offset of the
  /// next one. Called on the tailer's thread.
  using Sink =
      std::function<std::uint64_t(std::uint64_t from, const LogRead& read)>;

  /// @param log used only by this thread
  /// @param from offset of the first read
  LogTailer(std::unique_ptr<LogService> log, std::string stream,
            std::uint64_t from, Sink sink);

  /// Waits for the current read to finish.
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
