#include "src/load/answer_check.h"

#include <fmt/format.h>

#include <utility>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxPart = 1024 * 1024;  // bytes
constexpr char kDone[] = "[DONE]";

}  // namespace

AnswerCheck::AnswerCheck(std::string id, std::int64_t tokens, bool direct)
    : id_member_("\"id\":\"" + std::move(id) + "\""),
      expected_(tokens),
      direct_(direct) {}

AnswerCheck::Took AnswerCheck::Take(const StreamEvent& event) {
  if (event.name == "error") {
    return Took::kRefusal;
  }
  if (event.name == "end") {
    return TakeEnd(event.data);
  }
  if (!event.id.has_value() || *event.id != last_id_ + 1) {
    return Wrong(
        fmt::format("part {} after part {}", event.id.value_or(0), last_id_));
  }
  last_id_ = *event.id;
  if (event.data != kDone) {
    return TakePart(event.data);
  }
  return direct_ ? TakeEnd("") : Took::kOther;
}

AnswerCheck::Took AnswerCheck::TakePart(const std::string& data) {
  if (data.find(id_member_) == std::string::npos) {
    return Wrong("part of another request");
  }
  if (data.find("\"usage\"") != std::string::npos) {
    return TakeUsage(data);
  }
  ++tokens_;
  if (data.find(fmt::format("\"content\":\"t{} \"", tokens_)) ==
      std::string::npos) {
    return Wrong(fmt::format("token {} is not in its place", tokens_));
  }
  return Took::kToken;
}

AnswerCheck::Took AnswerCheck::TakeUsage(const std::string& data) {
  const cxxtools::SerializationInfo value = ParseJson(data, kMaxPart);
  const cxxtools::SerializationInfo* usage = value.findMember("usage");
  if (usage == nullptr) {
    return Wrong("usage is not where it should be");
  }
  prompt_tokens_ = JsonMember<std::int64_t>(*usage, "prompt_tokens", 0);
  cached_tokens_ = JsonMember<std::int64_t>(*usage, "cached_tokens", 0);
  has_usage_ = true;
  return Took::kOther;
}

AnswerCheck::Took AnswerCheck::TakeEnd(const std::string& data) {
  if (tokens_ != expected_ || !has_usage_) {
    return Wrong(fmt::format("{} of {} tokens", tokens_, expected_));
  }
  if (direct_) {
    return Took::kEnd;
  }
  const std::uint64_t parts =
      RequiredJsonMember<std::uint64_t>(ParseJson(data, kMaxPart), "parts");
  if (parts != last_id_) {
    return Wrong(fmt::format("{} of {} parts", last_id_, parts));
  }
  return Took::kEnd;
}

AnswerCheck::Took AnswerCheck::Wrong(std::string fault) {
  fault_ = std::move(fault);
  return Took::kWrong;
}

}  // namespace hornbeamcleat
