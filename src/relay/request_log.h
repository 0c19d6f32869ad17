#ifndef HORNBEAMCLEAT_SRC_RELAY_REQUEST_LOG_H_
#define HORNBEAMCLEAT_SRC_RELAY_REQUEST_LOG_H_

#include <fmt/format.h>

#include <cstdint>
#include <utility>

#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Rate-limited log of decisions about requests. Info lines have a lower limit
/// than warnings, so that refusals and failures are dropped last. Dropped lines
/// are counted.
class RequestLog {
 public:
  static constexpr int kMaxInfoLinesPerSecond = 60;
  /// Info lines and warnings together.
  static constexpr int kMaxLinesPerSecond = 400;

  template <typename... Args>
  void Info(Time now, fmt::format_string<Args...> format, Args&&... args) {
    if (TakeLine(now, kMaxInfoLinesPerSecond)) {
      log_.Info(format, std::forward<Args>(args)...);
    }
  }

  template <typename... Args>
  void Warning(Time now, fmt::format_string<Args...> format, Args&&... args) {
    if (TakeLine(now, kMaxLinesPerSecond)) {
      log_.Warning(format, std::forward<Args>(args)...);
    }
  }

 private:
  bool TakeLine(Time now, int max_lines) {
    if (now - second_start_ >= std::chrono::seconds(1)) {
      if (dropped_ > 0) {
        log_.Info("event=lines_left_out count={}", dropped_);
      }
      second_start_ = now;
      written_ = 0;
      dropped_ = 0;
    }
    if (written_ >= max_lines) {
      ++dropped_;
      return false;
    }
    ++written_;
    return true;
  }

  Logger log_{"request"};
  Time second_start_;
  int written_ = 0;
  int dropped_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_REQUEST_LOG_H_
