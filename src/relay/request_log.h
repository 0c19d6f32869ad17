#ifndef HORNBEAMCLEAT_SRC_RELAY_REQUEST_LOG_H_
#define HORNBEAMCLEAT_SRC_RELAY_REQUEST_LOG_H_

#include <fmt/format.h>

#include <cstdint>
#include <utility>

#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Lines on decisions about requests, bounded in number: ordinary progress is
/// left out first, refusals and failures last. What was left out is counted.
class RequestLog {
 public:
  /// Lines on ordinary progress in a second.
  static constexpr int kProgressLines = 60;
  /// All lines in a second.
  static constexpr int kAllLines = 400;

  template <typename... Args>
  void Progress(Time now, fmt::format_string<Args...> format, Args&&... args) {
    if (Admit(now, kProgressLines)) {
      log_.Info(format, std::forward<Args>(args)...);
    }
  }

  template <typename... Args>
  void Trouble(Time now, fmt::format_string<Args...> format, Args&&... args) {
    if (Admit(now, kAllLines)) {
      log_.Warning(format, std::forward<Args>(args)...);
    }
  }

 private:
  bool Admit(Time now, int most) {
    if (now - second_ >= std::chrono::seconds(1)) {
      if (left_out_ > 0) {
        log_.Info("event=lines_left_out count={}", left_out_);
      }
      second_ = now;
      written_ = 0;
      left_out_ = 0;
    }
    if (written_ >= most) {
      ++left_out_;
      return false;
    }
    ++written_;
    return true;
  }

  Logger log_{"request"};
  Time second_;
  int written_ = 0;
  int left_out_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_REQUEST_LOG_H_
