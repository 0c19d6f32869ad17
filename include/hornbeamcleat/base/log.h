#ifndef HORNBEAMCLEAT_BASE_LOG_H_
#define HORNBEAMCLEAT_BASE_LOG_H_

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace hornbeamcleat {

/// Severity, least first.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Parses "debug", "info", "warning" or "error"; throws Error otherwise.
LogLevel ParseLogLevel(std::string_view text);

/// Sets the least level that is written; thread-safe.
void SetLogLevel(LogLevel level);

/// Takes finished lines, newline included; called by any thread.
using LogSink = std::function<void(std::string_view line)>;

/// Sends all lines to `sink` in place of standard error. Call it before other
/// threads start.
void SetLogSink(LogSink sink);

/// Writes lines of one part, by default to standard error: time, level, the
/// part's fixed prefix, a short sentence, then key=value pairs. Thread-safe;
/// one write per line.
class Logger {
 public:
  /// @param prefix the part's name, e.g. "front"
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
