#ifndef HORNBEAMCLEAT_SRC_ENTRY_STREAM_HEAD_H_
#define HORNBEAMCLEAT_SRC_ENTRY_STREAM_HEAD_H_

#include <string>

#include "hornbeamcleat/schedule/request.h"
#include "src/entry/answer_context.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// Makes the head of the streamed answer to request `id` from the target at
/// `address`, including the resume handle.
CallerAnswer MakeStreamHead(const AnswerContext& context, const RequestId& id,
                            const std::string& address,
                            const std::string& version);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_STREAM_HEAD_H_
