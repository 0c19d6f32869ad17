#ifndef HORNBEAMCLEAT_TESTS_STANDIN_STANDIN_FIXTURE_H_
#define HORNBEAMCLEAT_TESTS_STANDIN_STANDIN_FIXTURE_H_

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <gtest/gtest.h>

#include <exception>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "src/base/json.h"
#include "src/standin/standin_loop.h"

namespace hornbeamcleat {

/// Runs one fake server on its own thread and port.
class StandinServer {
 public:
  explicit StandinServer(std::unique_ptr<Standin> standin)
      : standin_(std::move(standin)),
        loop_(StandinLoop::Make(Address::Parse("127.0.0.1:0"), standin_.get())),
        thread_([this] { loop_->Run(); }) {}

  ~StandinServer() {
    loop_->Stop();
    thread_.join();
  }

  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  Address Where() const { return loop_->Listening(); }

  struct Reply {
    int status = 0;  ///< 0: the connection failed
    std::string body;
    std::string outcome;  ///< header Request-Outcome
  };

  Reply Call(const std::string& method, const std::string& path,
             const std::string& body = "",
             const std::map<std::string, std::string>& headers = {},
             const std::string& query = "") const {
    cxxtools::http::Request request(path);
    request.method(method);
    request.qparams(query);
    for (const auto& [name, value] : headers) {
      request.addHeader(name.c_str(), value.c_str());
    }
    request.body() << body;
    try {
      cxxtools::http::Client client(Where().ip, Where().port);
      client.execute(request, cxxtools::Milliseconds(kTimeoutMs));
      client.readBody();
      const char* outcome = client.header().getHeader("Request-Outcome");
      return {static_cast<int>(client.header().httpReturnCode()), client.body(),
              outcome == nullptr ? "" : outcome};
    } catch (const std::exception&) {
      return {};
    }
  }

  cxxtools::SerializationInfo Json(const std::string& path,
                                   const std::string& query = "") const {
    return ParseJson(Call("GET", path, "", {}, query).body, kMaxBody);
  }

 private:
  static constexpr double kTimeoutMs = 20'000;
  static constexpr std::size_t kMaxBody = 16 * 1024 * 1024;

  std::unique_ptr<Standin> standin_;
  std::unique_ptr<StandinLoop> loop_;
  std::thread thread_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_STANDIN_STANDIN_FIXTURE_H_
