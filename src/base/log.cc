#include "hornbeamcleat/base/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <utility>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

std::atomic<LogLevel> min_level{LogLevel::kInfo};

LogSink& Sink() {
  static LogSink sink = [](std::string_view line) {
    std::fwrite(line.data(), 1, line.size(), stderr);
  };
  return sink;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

}  // namespace

LogLevel ParseLogLevel(std::string_view text) {
  for (LogLevel level : {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning,
                         LogLevel::kError}) {
    if (text == LevelName(level)) {
      return level;
    }
  }
  throw Error(
      "parse log level", "",
      fmt::format("'{}' is not one of debug, info, warning, error", text));
}

void SetLogLevel(LogLevel level) { min_level = level; }

void SetLogSink(LogSink sink) { Sink() = std::move(sink); }

void Logger::Write(LogLevel level, fmt::string_view format,
                   fmt::format_args args) const {
  if (level < min_level.load(std::memory_order_relaxed)) {
    return;
  }
  const std::chrono::sys_time<std::chrono::milliseconds> now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now());
  const std::chrono::sys_seconds second =
      std::chrono::floor<std::chrono::seconds>(now);
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line),
                 "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: ", second,
                 (now - second).count(), LevelName(level), prefix_);
  fmt::vformat_to(std::back_inserter(line), format, args);
  line.push_back('\n');
  Sink()({line.data(), line.size()});
}

}  // namespace hornbeamcleat
