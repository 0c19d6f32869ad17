#include "src/entry/stream_head.h"

#include "src/entry/resume_handle.h"

namespace hornbeamcleat {

CallerAnswer MakeStreamHead(const AnswerContext& context, const RequestId& id,
                            const std::string& address,
                            const std::string& version) {
  ResumeHandle handle;
  handle.id = id;
  handle.address = address;
  handle.version = version;
  handle.entry = context.front->Listening().ToString();
  handle.issued_unix_ms = context.clock->WallNow().time_since_epoch().count();
  CallerAnswer head;
  head.content_type = "text/event-stream";
  head.headers["Cache-Control"] = "no-cache";
  head.headers["Request-Id"] = id;
  head.headers["Resume-Handle"] =
      SignHandle(handle, context.options->handle_key);
  head.headers["Target-Version"] = version;
  return head;
}

}  // namespace hornbeamcleat
