#ifndef HORNBEAMCLEAT_SRC_BASE_LOG_BUFFER_H_
#define HORNBEAMCLEAT_SRC_BASE_LOG_BUFFER_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Holds log lines until they are flushed to a descriptor that may be a full
/// pipe. Never blocks: lines beyond the bound are dropped and counted.
class LogBuffer {
 public:
  /// Bytes held at the most.
  static constexpr std::size_t kMostBytes = 262'144;

  explicit LogBuffer(int fd) : fd_(fd) {}

  /// Thread-safe.
  void Add(std::string_view line);

  /// Writes what the descriptor takes without blocking. Called by one thread.
  void Flush();

  /// Lines dropped so far.
  std::size_t Dropped();

 private:
  const int fd_;
  std::mutex mutex_;
  std::string bytes_;
  std::size_t dropped_ = 0;
  std::size_t reported_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_LOG_BUFFER_H_
