#include "src/control/blocking_calls.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <fmt/format.h>
#include <poll.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"
#include "src/net/target_client.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr double kTimeoutMs = 2'000;
constexpr int kOk = 200;
constexpr std::size_t kMaxStateBytes = 1024 * 1024;
/// Of a whole call to a target, which may go on sending.
constexpr Duration kTargetTimeout = std::chrono::seconds(2);

std::string ExecuteRequest(const std::string& step, const Address& peer,
                           const cxxtools::http::Request& request, bool tls) {
  try {
    cxxtools::http::Client client(peer.ip, peer.port, tls);
    const cxxtools::Milliseconds timeout(kTimeoutMs);
    client.execute(request, timeout, timeout);
    client.readBody();
    if (static_cast<int>(client.header().httpReturnCode()) != kOk) {
      throw Error(step, peer.ToString(),
                  fmt::format("status {}", client.header().httpReturnCode()));
    }
    return client.body();
  } catch (const Error&) {
    throw;
  } catch (const std::exception& e) {
    throw Error(step, peer.ToString(), e.what());
  }
}

// Runs one call to a target, with limits on its time and its response.
class BlockingTargetCall : private TargetHandler {
 public:
  // Returns the body. Throws Error with `step` unless the status is 200.
  std::string Run(const std::string& step, TargetRequest request) {
    request.timeout = kTargetTimeout;
    request.max_body_bytes = kMaxStateBytes;
    client_->Begin(request);
    while (!end_.has_value()) {
      pollfd fd = {client_->PollFd(), POLLIN, 0};
      const std::int64_t wait_ms =
          std::chrono::ceil<std::chrono::milliseconds>(client_->NextRun())
              .count();
      if (poll(&fd, 1, static_cast<int>(wait_ms)) < 0 && errno != EINTR) {
        throw Error(step, request.address, strerror(errno));
      }
      client_->Run();
    }
    if (end_ != TargetEnd::kComplete) {
      throw Error(step, request.address, cause_);
    }
    if (status_ != kOk) {
      throw Error(step, request.address, fmt::format("status {}", status_));
    }
    return body_;
  }

 private:
  void OnSending(std::uint64_t) override {}
  void OnHead(std::uint64_t, int status,
              const std::map<std::string, std::string>&) override {
    status_ = status;
  }
  void OnBody(std::uint64_t, std::string_view bytes) override {
    body_ += bytes;
  }
  void OnEnd(std::uint64_t, TargetEnd end, const std::string& cause) override {
    end_ = end;
    cause_ = cause;
  }

  std::unique_ptr<TargetClient> client_ = TargetClient::Make(this);
  int status_ = 0;
  std::string body_;
  std::string cause_;
  std::optional<TargetEnd> end_;
};

TargetRequest MakeTargetRequest(const std::string& address,
                                const std::string& method,
                                const std::string& path) {
  TargetRequest request;
  request.address = address;
  request.method = method;
  request.path = path;
  request.connect_timeout = kTargetTimeout;
  return request;
}

bool ListsVersion(const SerializationInfo& state, const std::string& member,
                  const TargetQuery& target) {
  const SerializationInfo* list = state.findMember(member);
  if (list == nullptr) {
    return false;
  }
  for (const SerializationInfo& entry : *list) {
    if (JsonMember<std::string>(entry, "model", "") == target.model &&
        JsonMember<std::string>(entry, "version", "") == target.version) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string HttpGet(const std::string& step, const Address& peer,
                    const std::string& url, const std::string& token,
                    bool tls) {
  cxxtools::http::Request request(url);
  if (!token.empty()) {
    request.addHeader("Authorization", ("Bearer " + token).c_str());
  }
  return ExecuteRequest(step, peer, request, tls);
}

LoadState QueryLoadState(const TargetQuery& target) {
  const SerializationInfo state =
      ParseJson(BlockingTargetCall().Run(
                    "query target",
                    MakeTargetRequest(target.address, "GET", "/admin/state")),
                kMaxStateBytes);
  if (ListsVersion(state, "loaded", target)) {
    return LoadState::kLoaded;
  }
  return ListsVersion(state, "loading", target) ? LoadState::kLoading
                                                : LoadState::kAbsent;
}

void PostLoadCommand(const AddressedLoadCommand& addressed) {
  SerializationInfo value;
  value.addValue("model", addressed.command.model);
  value.addValue("version", addressed.command.version);
  value.addValue("fencing", addressed.command.fencing);
  TargetRequest request = MakeTargetRequest(
      addressed.address, "POST",
      addressed.command.load ? "/admin/load" : "/admin/unload");
  request.body = FormatJson(value);
  BlockingTargetCall().Run("send load command", request);
}

}  // namespace hornbeamcleat
