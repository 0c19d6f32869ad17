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
constexpr Duration kMaxWatch = std::chrono::seconds(30);

ApiReply Problem(int status, const std::string& title,
                 const std::string& detail, std::uint64_t version = 0) {
  return {status, "application/problem+json",
          ProblemJson(status, title, detail, version)};
}

bool Authorized(const ApiCall& call, const std::string& token) {
  if (token.empty()) {
    return true;
  }
  const std::string expected = "Bearer " + token;
  return call.authorization.size() == expected.size() &&
         CRYPTO_memcmp(call.authorization.data(), expected.data(),
                       expected.size()) == 0;
}

std::uint64_t NumberParameter(const std::string& query, const char* name) {
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
  std::string name;  // empty for the whole kind
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
  Router(const ApiCall& call, ApiBackend* backend)
      : call_(call), backend_(backend) {}

  ApiReply Route() const {
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
      return WholeState();
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
  static ApiReply NotReady() {
    return Problem(503, "Not ready", "the configuration is not known yet");
  }

  ApiReply Watch() const {
    const std::uint64_t wait_ms = NumberParameter(call_.query, "waitMs");
    const Duration wait = std::min<Duration>(
        std::chrono::milliseconds(std::min<std::uint64_t>(wait_ms, 60'000)),
        kMaxWatch);
    const WatchAnswer answer =
        backend_->Watch(NumberParameter(call_.query, "from"), wait);
    if (answer.compacted) {
      return Problem(410, "Compacted",
                     "the history does not reach back to that revision");
    }
    return {200, "application/json",
            fmt::format("{{\"events\":{},\"next\":{}}}", answer.events,
                        answer.next)};
  }

  ApiReply Explain(const std::string& id) const {
    const std::string text = backend_->Explain(id);
    if (text.empty()) {
      return Problem(404, "Not found", "the entry does not know the request");
    }
    return {200, "text/plain; charset=utf-8", text};
  }

  ApiReply WholeState() const {
    const std::shared_ptr<const ConfigState> config = backend_->Config();
    return config == nullptr
               ? NotReady()
               : ApiReply{200, "application/json", EncodeState(*config)};
  }

  ApiReply Get(const ResourcePath& path) const {
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

  ApiReply Put(const ResourcePath& path) const {
    Resource resource = ParseResource(call_.body);
    if (KindName(resource.spec) != path.kind || resource.name != path.name) {
      return Problem(400, "Bad request",
                     "kind and name differ between path and body");
    }
    ValidateResource(resource);
    if (const std::string objection = backend_->Objection(resource);
        !objection.empty()) {
      return Problem(422, "Invalid", objection);
    }
    const std::uint64_t expected = resource.version;
    resource.version = 0;
    return Answer(path, backend_->Apply(PutRecord{resource, expected}));
  }

  ApiReply Delete(const ResourcePath& path) const {
    const std::uint64_t expected =
        NumberParameter(call_.query, "resourceVersion");
    return Answer(
        path, backend_->Apply(DeleteRecord{path.kind, path.name, expected}));
  }

  ApiReply Answer(const ResourcePath& path, const ApplyAnswer& answer) const {
    switch (answer.end) {
      case ApplyEnd::kApplied:
        return {200, "application/json",
                fmt::format("{{\"revision\":{}}}", answer.revision)};
      case ApplyEnd::kConflict: {
        const std::shared_ptr<const ConfigState> config = backend_->Config();
        const Resource* current =
            config == nullptr ? nullptr : config->Find(path.kind, path.name);
        return Problem(409, "Conflict", answer.cause,
                       current == nullptr ? 0 : current->version);
      }
      case ApplyEnd::kInvalid:
        return Problem(422, "Invalid", answer.cause);
      case ApplyEnd::kUnavailable:
        return Problem(503, "Unavailable", answer.cause);
      case ApplyEnd::kUnknown:
        return Problem(504, "Unknown",
                       answer.cause + "; the change may be accepted, read it");
    }
    return Problem(500, "Internal error", "");
  }

  const ApiCall& call_;
  ApiBackend* backend_;
};

}  // namespace

ApiReply RouteApiCall(const ApiCall& call, const std::string& token,
                      ApiBackend* backend) {
  if (call.path == "/healthz") {
    return {200, "text/plain", "ok\n"};
  }
  if (call.path == "/readyz") {
    return backend->Config() == nullptr
               ? ApiReply{503, "text/plain", "loading\n"}
               : ApiReply{200, "text/plain", "ok\n"};
  }
  if (call.path == "/metrics") {
    return {200, "text/plain; version=0.0.4", backend->ExposeMetrics()};
  }
  if (!call.path.starts_with(kApiPrefix)) {
    return Problem(404, "Not found", call.path);
  }
  if (!Authorized(call, token)) {
    return Problem(401, "Unauthorized", "a valid bearer token is needed");
  }
  try {
    return Router(call, backend).Route();
  } catch (const Error& e) {
    return Problem(400, "Bad request", e.what());
  }
}

}  // namespace hornbeamcleat
