#ifndef HORNBEAMCLEAT_SRC_ENTRY_TARGET_CALLS_H_
#define HORNBEAMCLEAT_SRC_ENTRY_TARGET_CALLS_H_

#include <cstdint>
#include <string>

#include "hornbeamcleat/schedule/action.h"
#include "hornbeamcleat/schedule/request.h"
#include "src/entry/answer_context.h"
#include "src/entry/resume_handle.h"
#include "src/net/caller_front.h"
#include "src/net/target_client.h"

namespace hornbeamcleat {

/// Makes the call that runs a caller's request, with its body and the headers
/// that are forwarded to targets. The caller of this function sets the handle.
TargetRequest MakeRunCall(const AnswerContext& context,
                          const CallerRequest& request,
                          const DispatchAction& action);

/// Makes the call that fetches the parts of answer `id` after `last`. The
/// caller of this function sets the handle.
TargetRequest MakeResumeCall(const AnswerContext& context, const RequestId& id,
                             const std::string& address, std::uint64_t last);

/// Tells the target at `address` to cancel request `id` and discard its parts.
void SendCancel(AnswerContext* context, const RequestId& id,
                const std::string& address);

/// Makes the call that tells the entry which issued `handle` that its answer is
/// resumed at this entry.
/// @param encoded the handle as the caller sent it
TargetRequest MakeHandOverCall(AnswerContext* context,
                               const ResumeHandle& handle,
                               const std::string& encoded);

/// Number of prompt tokens served from the target's cache, from the usage in
/// the last part of an answer; 0 if the part has no usage.
std::uint32_t CachedTokens(const std::string& last_part);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TARGET_CALLS_H_
