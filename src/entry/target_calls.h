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

/// Call that runs a caller's request; its body and the headers meant for
/// targets pass through. The handle is left to be set.
TargetRequest MakeRunCall(const AnswerContext& context,
                          const CallerRequest& request,
                          const DispatchAction& action);

/// Call that asks for the parts of answer `id` after `last`. The handle is left
/// to be set.
TargetRequest MakeResumeCall(const AnswerContext& context, const RequestId& id,
                             const std::string& address, std::uint64_t last);

/// Tells the target at `address` to stop work on request `id` and forget it.
void SendCancel(AnswerContext* context, const RequestId& id,
                const std::string& address);

/// Call that tells the entry which gave `handle` that its answer is resumed
/// here.
/// @param sealed the handle as the caller sent it
TargetRequest MakeHandOverCall(AnswerContext* context,
                               const ResumeHandle& handle,
                               const std::string& sealed);

/// Number of prompt tokens that the target had cached, from the usage in the
/// last part of an answer; 0 if it has none.
std::uint32_t CachedTokens(const std::string& last_part);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TARGET_CALLS_H_
