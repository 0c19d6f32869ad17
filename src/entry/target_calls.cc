#include "src/entry/target_calls.h"

#include <cxxtools/serializationinfo.h>

#include <algorithm>
#include <chrono>

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxUsageBytes = 64 * 1024;
/// Limits of calls whose response nobody reads.
constexpr Duration kUnreadCallTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxUnreadBytes = 64 * 1024;

void LimitUnreadResponse(TargetRequest* call) {
  call->timeout = kUnreadCallTimeout;
  call->max_body_bytes = kMaxUnreadBytes;
}

// Headers of callers that are forwarded to targets.
constexpr const char* kForwardedHeaders[] = {
    "accept",          "application", "authorization", "content-type",
    "idempotency-key", "traceparent", "tracestate",    "workspace"};

TargetRequest StreamCall(const AnswerContext& context, const RequestId& id,
                         const std::string& address) {
  TargetRequest call;
  call.address = address;
  call.path = "/v1/streams/" + id;
  call.headers["Request-Id"] = id;
  call.connect_timeout = context.options->connect_timeout;
  return call;
}

}  // namespace

TargetRequest MakeRunCall(const AnswerContext& context,
                          const CallerRequest& request,
                          const DispatchAction& action) {
  TargetRequest call;
  call.address = action.address;
  call.path = request.path;
  call.body = request.body;
  call.connect_timeout = context.options->connect_timeout;
  for (const char* name : kForwardedHeaders) {
    const auto it = request.headers.find(name);
    if (it != request.headers.end()) {
      call.headers[name] = it->second;
    }
  }
  call.headers["Request-Id"] = action.id;
  call.headers["Deadline-Ms"] = std::to_string(
      std::chrono::ceil<std::chrono::milliseconds>(action.remaining).count());
  return call;
}

TargetRequest MakeResumeCall(const AnswerContext& context, const RequestId& id,
                             const std::string& address, std::uint64_t last) {
  TargetRequest call = StreamCall(context, id, address);
  call.method = "GET";
  call.headers["Last-Event-ID"] = std::to_string(last);
  return call;
}

void SendCancel(AnswerContext* context, const RequestId& id,
                const std::string& address) {
  TargetRequest call = StreamCall(*context, id, address);
  call.handle = ++context->last_exchange_handle;
  call.method = "DELETE";
  LimitUnreadResponse(&call);
  context->client->Begin(call);
}

TargetRequest MakeHandOverCall(AnswerContext* context,
                               const ResumeHandle& handle,
                               const std::string& encoded) {
  TargetRequest call;
  call.handle = ++context->last_exchange_handle;
  call.address = handle.entry;
  call.method = "PUT";
  call.path = "/v1/answers/" + handle.id;
  call.headers["Resume-Handle"] = encoded;
  LimitUnreadResponse(&call);
  call.connect_timeout = context->options->connect_timeout;
  return call;
}

std::uint32_t CachedTokens(const std::string& data) {
  if (data.find("\"usage\"") == std::string::npos) {
    return 0;
  }
  try {
    const cxxtools::SerializationInfo json = ParseJson(data, kMaxUsageBytes);
    const cxxtools::SerializationInfo* usage = json.findMember("usage");
    return usage == nullptr ? 0
                            : static_cast<std::uint32_t>(std::max(
                                  0, JsonMember(*usage, "cached_tokens", 0)));
  } catch (const Error&) {
    return 0;
  }
}

}  // namespace hornbeamcleat
