#ifndef HORNBEAMCLEAT_BASE_LOG_H_
#define HORNBEAMCLEAT_BASE_LOG_H_

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace hornbeamcleat {

/// Severity, in increasing order.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Parses "debug", "info", "warning" or "error"; throws Error otherwise.
LogLevel ParseLogLevel(std::string_view text);

/// Sets the minimum level that is written. Thread-safe.
void SetLogLevel(LogLevel level);

/// Receives formatted lines including the newline; called on any thread.
using LogSink = std::function<void(std::string_view line)>;

/// Redirects all lines from standard error to `sink`. Must be called before
/// other threads start.
void SetLogSink(LogSink sink);

/// Writes the log lines of one component, by default to standard error. A line
/// holds time, level, the component's prefix, a short sentence and key=value
/// pairs. Thread-safe; each line is a single write.
class Logger {
 public:
  /// @param prefix name of the component, e.g. "front"
  explicit Logger(std::string prefix) : prefix_(std::move(prefix)) {}

  template <typename... Args>
  void Debug(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kDebug, format, fmt::make_format_args(args...));
  }
  template <typename... Args>
  void Info(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kInfo, format, fmt::make_format_args(args...));
  }
  template <typename... Args>
  void Warning(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kWarning, format, fmt::make_format_args(args...));
  }
  template <typename... Args>
  void Error(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kError, format, fmt::make_format_args(args...));
  }

 private:
  void Write(LogLevel level, fmt::string_view format,
             fmt::format_args args) const;

  std::string prefix_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_LOG_H_
