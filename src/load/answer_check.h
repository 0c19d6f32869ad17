#ifndef HORNBEAMCLEAT_SRC_LOAD_ANSWER_CHECK_H_
#define HORNBEAMCLEAT_SRC_LOAD_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "src/net/event_stream.h"

namespace hornbeamcleat {

/// Checks that a streamed answer is whole and its request's own. The
/// stand-in's parts carry the request id and a number.
class AnswerCheck {
 public:
  /// @param id     of the request
  /// @param tokens that the answer must have
  /// @param direct whether the stream comes from an engine, without an entry
  AnswerCheck(std::string id, std::int64_t tokens, bool direct);

  /// What an event was.
  enum class Took { kToken, kOther, kEnd, kRefusal, kWrong };

  /// Takes the next event, on whatever connection it came.
  Took Take(const StreamEvent& event);

  /// Offset of the last part taken; resume after it.
  std::uint64_t LastId() const { return last_id_; }

  std::int64_t Tokens() const { return tokens_; }
  std::int64_t PromptTokens() const { return prompt_tokens_; }
  std::int64_t CachedTokens() const { return cached_tokens_; }

  /// What was wrong, after kWrong.
  const std::string& Fault() const { return fault_; }

 private:
  Took TakePart(const std::string& data);
  Took TakeUsage(const std::string& data);
  Took TakeEnd(const std::string& data);
  Took Wrong(std::string fault);

  std::string id_member_;
  std::int64_t expected_;
  bool direct_;
  std::uint64_t last_id_ = 0;
  std::int64_t tokens_ = 0;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t cached_tokens_ = 0;
  bool has_usage_ = false;
  std::string fault_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_ANSWER_CHECK_H_
