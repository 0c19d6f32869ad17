#ifndef HORNBEAMCLEAT_SRC_BASE_LOG_BUFFER_H_
#define HORNBEAMCLEAT_SRC_BASE_LOG_BUFFER_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Buffers log lines for a descriptor that may be a full pipe. Never blocks:
/// lines that exceed the buffer's capacity are dropped and counted.
class LogBuffer {
 public:
  /// Capacity of the buffer.
  static constexpr std::size_t kMaxBytes = 262'144;

  explicit LogBuffer(int fd) : fd_(fd) {}

  /// Thread-safe.
  void Add(std::string_view line);

  /// Writes as much as the descriptor accepts without blocking. Must be called
  /// on one thread only.
  void Flush();

  /// Number of lines dropped so far.
  std::size_t Dropped();

 private:
  const int fd_;
  std::mutex mutex_;
  std::string bytes_;
  std::size_t dropped_ = 0;
  std::size_t reported_dropped_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_LOG_BUFFER_H_
