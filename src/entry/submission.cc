#include "src/entry/submission.h"

#include <cxxtools/serializationinfo.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/hash.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

constexpr char kStep[] = "read request";
constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxPathLength = 512;
constexpr std::size_t kBlockBytes = 64;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::string_view kParagraphEnd = "\n\n";
/// Parts of a prompt that are compared with those of other requests.
constexpr std::size_t kMaxParts = 16;
// Longer bodies are not parsed, because parsing delays the scheduling of other
// requests.
constexpr std::size_t kMaxParsedBytes = 128 * 1024;
constexpr std::int64_t kMaxDeadlineMs = 24 * 3'600 * 1'000;
constexpr int kMaxRequestedTokens = 10'000'000;

bool IsAlphanumericOr(std::string_view text, std::string_view punctuation) {
  return std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return std::isalnum(c) != 0 ||
           punctuation.find(static_cast<char>(c)) != std::string_view::npos;
  });
}

std::string Header(const CallerRequest& request, const char* name) {
  const auto it = request.headers.find(name);
  return it == request.headers.end() ? "" : it->second;
}

std::string RequiredHeader(const CallerRequest& request, const char* name) {
  std::string value = Header(request, name);
  if (value.empty() || value.size() > kMaxNameLength) {
    throw Error(kStep, "",
                fmt::format("header '{}' must have 1 to {} characters", name,
                            kMaxNameLength));
  }
  return value;
}

Time ReadDeadline(const CallerRequest& request, Time now) {
  const std::string text = Header(request, "deadline-ms");
  if (text.empty()) {
    return Time::max();
  }
  std::int64_t ms = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size() ||
      ms < 1 || ms > kMaxDeadlineMs) {
    throw Error(
        kStep, "",
        fmt::format("header 'deadline-ms' must be 1 to {}", kMaxDeadlineMs));
  }
  return now + std::chrono::milliseconds(ms);
}

// The parts of a prompt: its messages, or the paragraphs of a plain text.
std::optional<std::vector<std::string>> PromptParts(
    const cxxtools::SerializationInfo& body) {
  std::vector<std::string> parts;
  if (body.findMember("prompt") != nullptr) {
    const std::string text = JsonMember<std::string>(body, "prompt", "");
    std::size_t start = 0;
    while (start < text.size()) {
      const std::size_t end = text.find(kParagraphEnd, start);
      const std::size_t next =
          end == std::string::npos ? text.size() : end + kParagraphEnd.size();
      parts.push_back(text.substr(start, next - start));
      start = next;
    }
    return parts;
  }
  const cxxtools::SerializationInfo* messages = body.findMember("messages");
  if (messages == nullptr) {
    return std::nullopt;
  }
  for (const cxxtools::SerializationInfo& message : *messages) {
    parts.push_back(JsonMember<std::string>(message, "content", ""));
  }
  return parts;
}

// Adds the first and the last parts, if there are many.
void AddParts(const std::vector<std::string>& parts,
              std::vector<RequestProperty>* properties) {
  constexpr std::size_t kHalf = kMaxParts / 2;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const bool is_near_end =
        parts.size() <= kMaxParts || i < kHalf || i + kHalf >= parts.size();
    if (is_near_end && !parts[i].empty()) {
      properties->emplace_back(PropertyKind::kPart, parts[i]);
    }
  }
}

}  // namespace

RequestIdSource::RequestIdSource() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device(),
                     device(), device(), device(), device()};
  random_.seed(seed);
}

RequestId RequestIdSource::Next() {
  const std::uint64_t high = random_();
  const std::uint64_t low = random_();
  return fmt::format("{:016x}{:016x}", high, low);
}

bool IsRequestId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdLength &&
         IsAlphanumericOr(id, "._-");
}

bool IsForwardablePath(std::string_view path) {
  return path.size() <= kMaxPathLength && path.starts_with('/') &&
         IsAlphanumericOr(path, "/._-~:@+");
}

RequestSpec ReadSubmission(const CallerRequest& request, const RequestId& id,
                           Time now) {
  RequestSpec spec;
  const std::string caller_id = Header(request, "request-id");
  spec.id = caller_id.empty() ? id : caller_id;
  if (!IsRequestId(spec.id)) {
    throw Error(kStep, "", "header 'request-id' is malformed");
  }
  if (!IsForwardablePath(request.path)) {
    throw Error(
        kStep, "",
        "the path is too long or has characters that are not forwarded");
  }
  spec.workspace = RequiredHeader(request, "workspace");
  spec.application = RequiredHeader(request, "application");
  spec.idempotency_key = Header(request, "idempotency-key");
  if (spec.idempotency_key.size() > kMaxNameLength) {
    throw Error(kStep, "", "header 'idempotency-key' is too long");
  }
  spec.arrival = now;
  spec.deadline = ReadDeadline(request, now);
  spec.prompt_tokens =
      static_cast<std::uint32_t>(request.body.size() / kBytesPerToken);
  spec.properties = {
      {PropertyKind::kContent, request.body},
      {PropertyKind::kPath, spec.application + ' ' + request.path},
      {PropertyKind::kKey, spec.workspace}};
  AddSizes("body", request.body.size(), &spec.properties);
  return spec;
}

// A body of another form is not an error: it is forwarded unchanged.
void ReadBody(const std::string& body, RequestSpec* spec) {
  const std::size_t start = body.find_first_not_of(" \t\r\n");
  if (start == std::string::npos || body[start] != '{') {
    return;
  }
  try {
    const cxxtools::SerializationInfo json = ParseJson(body, kMaxParsedBytes);
    spec->max_tokens = static_cast<std::uint32_t>(std::clamp(
        JsonMember<int>(json, "max_tokens", 0), 0, kMaxRequestedTokens));
    if (const std::optional<std::vector<std::string>> parts =
            PromptParts(json)) {
      std::string prompt;
      for (const std::string& part : *parts) {
        prompt += part;
      }
      spec->prefix_blocks = PrefixBlocks(prompt);
      spec->prompt_tokens =
          static_cast<std::uint32_t>(prompt.size() / kBytesPerToken);
      AddParts(*parts, &spec->properties);
    }
    if (spec->max_tokens > 0) {
      AddSizes("answer", spec->max_tokens, &spec->properties);
    }
  } catch (const Error&) {
    return;
  }
}

std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  blocks.reserve(prompt.size() / kBlockBytes);
  std::uint64_t previous = 0;
  for (std::size_t i = 0; i + kBlockBytes <= prompt.size(); i += kBlockBytes) {
    previous = Hash64(prompt.substr(i, kBlockBytes), previous);
    blocks.push_back(previous);
  }
  return blocks;
}

}  // namespace hornbeamcleat
