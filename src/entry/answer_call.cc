#include "src/entry/answer_call.h"

#include <charconv>
#include <string>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr char kStep[] = "read answer call";

std::string Header(const CallerRequest& request, const char* name) {
  const auto it = request.headers.find(name);
  return it == request.headers.end() ? "" : it->second;
}

std::uint64_t ReadOffset(const std::string& text) {
  std::uint64_t last = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), last);
  if (!text.empty() &&
      (result.ec != std::errc() || result.ptr != text.data() + text.size())) {
    throw Error(kStep, "",
                "header 'last-event-id' must be an unsigned integer");
  }
  return last;
}

}  // namespace

AnswerCall ReadAnswerCall(const CallerRequest& request, const RequestId& id,
                          std::string_view key, WallTime now, Duration life) {
  AnswerCall call;
  call.handle = VerifyHandle(Header(request, "resume-handle"), key, now, life);
  if (call.handle.id != id) {
    throw Error(kStep, "", "the resume handle belongs to another answer");
  }
  call.last = ReadOffset(Header(request, "last-event-id"));
  return call;
}

}  // namespace hornbeamcleat
