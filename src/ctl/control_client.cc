#include "src/ctl/control_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <exception>
#include <utility>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr int kVerifyPeer = 2;

}  // namespace

ControlClient::ControlClient(ControlServer server)
    : server_(std::move(server)) {}

ControlAnswer ControlClient::Call(const std::string& method,
                                  const std::string& path,
                                  const std::string& query,
                                  const std::string& body,
                                  Duration extra) const {
  cxxtools::http::Request request(path);
  request.method(method);
  request.qparams(query);
  request.addHeader("Content-Type", "application/json");
  if (!server_.token.empty()) {
    request.addHeader("Authorization", ("Bearer " + server_.token).c_str());
  }
  request.body() << body;
  const Duration limit = server_.timeout + extra;
  try {
    cxxtools::http::Client client(server_.address.ip, server_.address.port,
                                  server_.tls);
    if (server_.tls && !server_.ca_file.empty()) {
      client.setSslVerify(kVerifyPeer, server_.ca_file);
    }
    client.execute(request, cxxtools::Milliseconds(ToSeconds(limit) * 1e3));
    client.readBody();
    return {static_cast<int>(client.header().httpReturnCode()), client.body()};
  } catch (const std::exception& e) {
    throw Error("call control", server_.address.ToString(), e.what());
  }
}

}  // namespace hornbeamcleat
