#include "src/control/api_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <exception>
#include <ostream>
#include <thread>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/config/resource_json.h"
#include "src/control/api_backend.h"
#include "src/control/api_json.h"
#include "src/control/api_router.h"

namespace hornbeamcleat {
namespace {

constexpr unsigned kMinThreads = 2;
constexpr int kStatusPayloadTooLarge = 413;
constexpr std::size_t kMaxBodyBytes = kMaxResourceBytes;

class ApiService;

// Handles one request: cxxtools passes the body to readBody, then calls reply.
class ApiResponder : public cxxtools::http::Responder {
 public:
  ApiResponder(cxxtools::http::Service& service, const std::string& token,
               ApiBackend* backend)
      : Responder(service), token_(token), backend_(backend) {}

  // NOLINTNEXTLINE(readability-identifier-naming): overrides cxxtools
  std::size_t readBody(std::istream& in) override {
    std::size_t n = 0;
    while (in.rdbuf()->in_avail() > 0) {
      const int c = in.get();
      ++n;
      if (body_.size() <= kMaxBodyBytes) {
        body_.push_back(static_cast<char>(c));
      }
    }
    return n;
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const ApiResponse response = HandleRequest(request);
    reply.httpReturn(static_cast<unsigned>(response.status), "");
    reply.setHeader("Content-Type", response.content_type.c_str());
    out << response.body;
  }

 private:
  ApiResponse HandleRequest(const cxxtools::http::Request& request) const {
    if (body_.size() > kMaxBodyBytes) {
      return {
          kStatusPayloadTooLarge, "application/problem+json",
          ProblemJson(kStatusPayloadTooLarge, "Too large", "at most 64 KB")};
    }
    const char* authorization = request.getHeader("Authorization:");
    if (authorization == nullptr) {
      authorization = request.getHeader("Authorization");
    }
    const ApiRequest call = {request.method(), request.url(), request.qparams(),
                             authorization == nullptr ? "" : authorization,
                             body_};
    return HandleApiRequest(call, token_, backend_);
  }

  const std::string& token_;
  ApiBackend* backend_;
  std::string body_;
};

class ApiService : public cxxtools::http::Service {
 public:
  ApiService(std::string token, ApiBackend* backend)
      : token_(std::move(token)), backend_(backend) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override {
    return new ApiResponder(*this, token_, backend_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  std::string token_;
  ApiBackend* backend_;
};

class CxxtoolsApiServer : public ApiServer {
 public:
  CxxtoolsApiServer(const ApiOptions& options, ApiBackend* backend)
      : service_(options.token, backend), server_(loop_) {
    server_.minThreads(kMinThreads);
    server_.maxThreads(static_cast<unsigned>(options.max_threads));
    try {
      server_.listen(options.listen.ip, options.listen.port,
                     options.certificate, options.private_key);
    } catch (const std::exception& e) {
      throw Error("listen for operators", options.listen.ToString(), e.what());
    }
    server_.addService(cxxtools::Regex("^/"), service_);
    thread_ = std::thread([this] { Run(); });
  }

  ~CxxtoolsApiServer() override {
    loop_.exit();
    thread_.join();
  }

 private:
  void Run() {
    try {
      loop_.run();
    } catch (const std::exception& e) {
      log_.Error("API server failed. cause={}", e.what());
    }
  }

  Logger log_{"api"};
  cxxtools::EventLoop loop_;
  ApiService service_;
  cxxtools::http::Server server_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<ApiServer> ApiServer::Make(const ApiOptions& options,
                                           ApiBackend* backend) {
  return std::make_unique<CxxtoolsApiServer>(options, backend);
}

}  // namespace hornbeamcleat
