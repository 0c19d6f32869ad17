#include "src/control/blocking_calls.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <fmt/format.h>

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr double kTimeoutMs = 2'000;
constexpr unsigned kOk = 200;
constexpr std::size_t kMaxStateBytes = 1024 * 1024;

std::string ExecuteRequest(const std::string& step, const Address& peer,
                           const cxxtools::http::Request& request, bool tls) {
  try {
    cxxtools::http::Client client(peer.ip, peer.port, tls);
    const cxxtools::Milliseconds timeout(kTimeoutMs);
    client.execute(request, timeout, timeout);
    client.readBody();
    if (client.header().httpReturnCode() != kOk) {
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
      ParseJson(HttpGet("query target", Address::Parse(target.address),
                        "/admin/state", "", false),
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
  cxxtools::http::Request request(addressed.command.load ? "/admin/load"
                                                         : "/admin/unload");
  request.method("POST");
  request.body() << FormatJson(value);
  ExecuteRequest("send load command", Address::Parse(addressed.address),
                 request, false);
}

}  // namespace hornbeamcleat
