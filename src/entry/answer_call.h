#ifndef HORNBEAMCLEAT_SRC_ENTRY_ANSWER_CALL_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ANSWER_CALL_H_

#include <cstdint>
#include <string_view>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"
#include "src/entry/resume_handle.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// HTTP request for an existing answer: resume, cancellation or hand-over.
struct AnswerCall {
  ResumeHandle handle;
  std::uint64_t last = 0;  ///< offset of the last part that the caller received

  bool operator==(const AnswerCall&) const = default;
};

/// Parses the headers of a request for answer `id`; see VerifyHandle for the
/// other parameters.
/// @throws Error if the handle or the offset is malformed or the handle belongs
///   to another answer
AnswerCall ReadAnswerCall(const CallerRequest& request, const RequestId& id,
                          std::string_view key, WallTime now, Duration life);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ANSWER_CALL_H_
