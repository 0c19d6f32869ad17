#ifndef HORNBEAMCLEAT_SRC_LOAD_REQUEST_RECORD_H_
#define HORNBEAMCLEAT_SRC_LOAD_REQUEST_RECORD_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// What became of a request, as its caller saw it.
enum class RequestEnd {
  kWholeInTime,
  kWholeLate,
  kRefused,  ///< a typed outcome and reason were given
  kWrong,    ///< an answer that is not its own, or has gaps
  kLost,     ///< no end was seen
};

/// "whole_in_time", "whole_late", "refused", "wrong" or "lost".
const char* RequestEndName(RequestEnd end);

/// One request of a run. Instants count from the start of the run; those that
/// did not happen are negative.
struct RequestRecord {
  std::string id;
  std::size_t request_class = 0;
  Duration intended = Duration(-1);  ///< latency counts from here
  Duration sent = Duration(-1);      ///< last attempt
  Duration first_part = Duration(-1);
  Duration ended = Duration(-1);
  RequestEnd end = RequestEnd::kLost;
  std::string outcome;  ///< of a refusal: not_run, unknown or failed
  std::string reason;   ///< of a refusal, or what was wrong
  std::string version;  ///< of the target, as the entry said
  int attempts = 0;
  int resumes = 0;
  std::int64_t parts = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;

  bool operator==(const RequestRecord&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_REQUEST_RECORD_H_
