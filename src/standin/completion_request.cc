#include "src/standin/completion_request.h"

#include <algorithm>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxBody = 4 * 1024 * 1024;  // bytes
constexpr std::int64_t kMaxTokens = 100'000;
constexpr std::int64_t kBytesPerToken = 4;

}  // namespace

CompletionRequest ParseCompletion(std::string_view json) {
  const cxxtools::SerializationInfo value = ParseJson(json, kMaxBody);
  CompletionRequest out;
  out.model = JsonMember(value, "model", out.model);
  out.prompt = JsonMember(value, "prompt", out.prompt);
  const cxxtools::SerializationInfo* messages = value.findMember("messages");
  if (messages != nullptr) {
    for (const cxxtools::SerializationInfo& each : *messages) {
      out.prompt += JsonMember(each, "content", std::string());
    }
  }
  out.max_tokens = std::clamp<std::int64_t>(
      JsonMember(value, "max_tokens", out.max_tokens), 1, kMaxTokens);
  return out;
}

std::int64_t PromptTokens(std::string_view prompt) {
  return (static_cast<std::int64_t>(prompt.size()) + kBytesPerToken - 1) /
         kBytesPerToken;
}

}  // namespace hornbeamcleat
