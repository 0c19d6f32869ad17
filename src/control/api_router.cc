#include "src/control/api_router.h"

#include <cxxtools/query_params.h>
#include <fmt/format.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/hash.h"
#include "hornbeamcleat/config/resource_json.h"
#include "src/control/api_backend.h"
#include "src/control/api_json.h"

namespace hornbeamcleat {
namespace {

constexpr char kApiPrefix[] = "/api/";
constexpr Duration kMaxWatchWait = std::chrono::seconds(30);

ApiResponse Problem(int status, const std::string& title,
                    const std::string& detail, std::uint64_t version = 0) {
  return {status, "application/problem+json",
          ProblemJson(status, title, detail, version)};
}

bool IsAuthorized(const ApiRequest& call, const std::string& token) {
  if (token.empty()) {
    return true;
  }
  const std::string expected = "Bearer " + token;
  return call.authorization.size() == expected.size() &&
         CRYPTO_memcmp(call.authorization.data(), expected.data(),
                       expected.size()) == 0;
}

std::uint64_t ParseUnsignedParameter(const std::string& query,
                                     const char* name) {
  const cxxtools::QueryParams params(query);
  const std::string text = params.param(name, std::string());
  std::uint64_t n = 0;
  if (text.empty()) {
    return 0;
  }
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    throw Error("read parameter", "",
                fmt::format("'{}' is not a number: {}", name, text));
  }
  return n;
}

struct ResourcePath {
  std::string kind;
  std::string name;  // empty addresses all resources of the kind
};

ResourcePath SplitPath(const std::string& path) {
  const std::string rest = path.substr(std::string_view(kApiPrefix).size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    return {rest, ""};
  }
  return {rest.substr(0, slash), rest.substr(slash + 1)};
}

bool IsKind(const std::string& kind) {
  static constexpr std::string_view kKinds[] = {"Workspace", "Tier", "Target",
                                                "Version", "Move"};
  return std::find(std::begin(kKinds), std::end(kKinds), kind) !=
         std::end(kKinds);
}

class Router {
 public:
  Router(const ApiRequest& call, ApiBackend* backend)
      : call_(call), backend_(backend) {}

  ApiResponse Route() const {
    if (call_.path == "/api/status") {
      return {200, "application/json", StatusJson(backend_->Status())};
    }
    if (call_.path == "/api/watch") {
      return Watch();
    }
    const ResourcePath path = SplitPath(call_.path);
    if (path.kind == "explain") {
      return Explain(path.name);
    }
    if (path.kind == "state") {
      return GetState();
    }
    if (!IsKind(path.kind)) {
      return Problem(404, "Not found",
                     "expected a kind, status, watch or explain");
    }
    if (call_.method == "GET") {
      return Get(path);
    }
    if (call_.method == "PUT" && !path.name.empty()) {
      return Put(path);
    }
    if (call_.method == "DELETE" && !path.name.empty()) {
      return Delete(path);
    }
    return Problem(405, "Method not allowed", call_.method);
  }

 private:
  static ApiResponse NotReady() {
    return Problem(503, "Not ready",
                   "the configuration has not been loaded yet");
  }

  ApiResponse Watch() const {
    const std::uint64_t wait_ms = ParseUnsignedParameter(call_.query, "waitMs");
    const Duration wait = std::min<Duration>(
        std::chrono::milliseconds(std::min<std::uint64_t>(wait_ms, 60'000)),
        kMaxWatchWait);
    const WatchResult result =
        backend_->Watch(ParseUnsignedParameter(call_.query, "from"), wait);
    if (result.compacted) {
      return Problem(410, "Compacted",
                     "the watch history no longer contains that revision");
    }
    return {200, "application/json",
            fmt::format("{{\"events\":{},\"next\":{}}}", result.events,
                        result.next)};
  }

  ApiResponse Explain(const std::string& id) const {
    const std::string text = backend_->Explain(id);
    if (text.empty()) {
      return Problem(404, "Not found",
                     "the entry has no record of the request");
    }
    return {200, "text/plain; charset=utf-8", text};
  }

  ApiResponse GetState() const {
    const std::shared_ptr<const ConfigState> config = backend_->Config();
    return config == nullptr
               ? NotReady()
               : ApiResponse{200, "application/json", EncodeState(*config)};
  }

  ApiResponse Get(const ResourcePath& path) const {
    const std::shared_ptr<const ConfigState> config = backend_->Config();
    if (config == nullptr) {
      return NotReady();
    }
    if (path.name.empty()) {
      return {200, "application/json", ResourceList(path.kind, *config)};
    }
    const Resource* resource = config->Find(path.kind, path.name);
    if (resource == nullptr) {
      return Problem(404, "Not found", path.kind + "/" + path.name);
    }
    return {200, "application/json", ResourceWithStatus(*resource, *config)};
  }

  ApiResponse Put(const ResourcePath& path) const {
    Resource resource = ParseResource(call_.body);
    if (KindName(resource.spec) != path.kind || resource.name != path.name) {
      return Problem(400, "Bad request",
                     "kind and name differ between path and body");
    }
    ValidateResource(resource);
    if (const std::string objection = backend_->RejectionReason(resource);
        !objection.empty()) {
      return Problem(422, "Invalid", objection);
    }
    const std::uint64_t expected = resource.version;
    resource.version = 0;
    return MakeApplyResponse(path,
                             backend_->Apply(PutRecord{resource, expected}));
  }

  ApiResponse Delete(const ResourcePath& path) const {
    const std::uint64_t expected =
        ParseUnsignedParameter(call_.query, "resourceVersion");
    return MakeApplyResponse(
        path, backend_->Apply(DeleteRecord{path.kind, path.name, expected}));
  }

  ApiResponse MakeApplyResponse(const ResourcePath& path,
                                const ApplyResult& result) const {
    switch (result.status) {
      case ApplyStatus::kApplied:
        return {200, "application/json",
                fmt::format("{{\"revision\":{}}}", result.revision)};
      case ApplyStatus::kConflict: {
        const std::shared_ptr<const ConfigState> config = backend_->Config();
        const Resource* current =
            config == nullptr ? nullptr : config->Find(path.kind, path.name);
        return Problem(409, "Conflict", result.cause,
                       current == nullptr ? 0 : current->version);
      }
      case ApplyStatus::kInvalid:
        return Problem(422, "Invalid", result.cause);
      case ApplyStatus::kUnavailable:
        return Problem(503, "Unavailable", result.cause);
      case ApplyStatus::kUnknown:
        return Problem(
            504, "Unknown",
            result.cause +
                "; the change may have been accepted, read the resource");
    }
    return Problem(500, "Internal error", "");
  }

  const ApiRequest& call_;
  ApiBackend* backend_;
};

}  // namespace

ApiResponse HandleApiRequest(const ApiRequest& call, const std::string& token,
                             ApiBackend* backend) {
  if (call.path == "/healthz") {
    return {200, "text/plain", "ok\n"};
  }
  if (call.path == "/readyz") {
    return backend->Config() == nullptr
               ? ApiResponse{503, "text/plain", "loading\n"}
               : ApiResponse{200, "text/plain", "ok\n"};
  }
  if (call.path == "/metrics") {
    return {200, "text/plain; version=0.0.4", backend->ExposeMetrics()};
  }
  if (!call.path.starts_with(kApiPrefix)) {
    return Problem(404, "Not found", call.path);
  }
  if (!IsAuthorized(call, token)) {
    return Problem(401, "Unauthorized", "a valid bearer token is required");
  }
  try {
    return Router(call, backend).Route();
  } catch (const Error& e) {
    return Problem(400, "Bad request", e.what());
  }
}

}  // namespace hornbeamcleat
