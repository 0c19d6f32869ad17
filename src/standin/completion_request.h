#ifndef HORNBEAMCLEAT_SRC_STANDIN_COMPLETION_REQUEST_H_
#define HORNBEAMCLEAT_SRC_STANDIN_COMPLETION_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Fields of an OpenAI-compatible request body that a simulated engine uses.
struct CompletionRequest {
  std::string model;
  std::string prompt;  ///< `prompt`, or the contents of all messages
  std::int64_t max_tokens = 16;

  bool operator==(const CompletionRequest&) const = default;
};

/// Parses a completion or chat completion body.
/// @throws Error with step "parse JSON"
CompletionRequest ParseCompletion(std::string_view json);

/// Estimated number of tokens in a prompt: a quarter of its bytes, rounded up.
std::int64_t PromptTokens(std::string_view prompt);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_COMPLETION_REQUEST_H_
