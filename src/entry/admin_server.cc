#include "src/entry/admin_server.h"

#include <cxxtools/serializationinfo.h>

#include "src/base/json.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxBody = 1'024;
constexpr std::size_t kMaxOpen = 64;
constexpr std::size_t kMaxBuffered = 4 * 1024 * 1024;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
constexpr char kExplainPrefix[] = "/explain/";

CallerAnswer Text(int status, const char* text) {
  CallerAnswer answer;
  answer.status = status;
  answer.content_type = "text/plain; charset=utf-8";
  answer.body = text;
  return answer;
}

class HttpAdminServer : public AdminServer, public CallerHandler {
 public:
  HttpAdminServer(const Address& listen, const Metrics* metrics,
                  const AdminSource* source)
      : metrics_(metrics),
        source_(source),
        front_(CallerFront::Make(listen, kMaxBody, kMaxOpen, kMaxBuffered,
                                 this)) {}

  Address Listening() const override { return front_->Listening(); }
  int PollFd() const override { return front_->PollFd(); }
  void Run() override { front_->Run(); }

  void OnRequest(CallerRequest request) override {
    front_->Answer(request.handle, MakeAnswer(request));
  }

  void OnClosed(std::uint64_t, bool) override {}

 private:
  CallerAnswer MakeAnswer(const CallerRequest& request) const {
    if (request.path == "/healthz") {
      return Text(200, "ok\n");
    }
    if (request.path == "/readyz") {
      return source_->Ready() ? Text(200, "ready\n")
                              : Text(kStatusUnavailable, "not ready\n");
    }
    if (request.path == "/metrics") {
      CallerAnswer answer;
      answer.content_type = "text/plain; version=0.0.4";
      answer.body = metrics_->Expose();
      return answer;
    }
    if (request.path.starts_with(kExplainPrefix)) {
      return Explain(
          request.path.substr(std::string_view(kExplainPrefix).size()));
    }
    return Text(kStatusNotFound, "not found\n");
  }

  CallerAnswer Explain(const RequestId& id) const {
    const std::string text = source_->Explain(id);
    cxxtools::SerializationInfo object;
    object.addMember("requestId") <<= id;
    object.addMember("explanation") <<= text;
    CallerAnswer answer;
    answer.status = text.empty() ? kStatusNotFound : 200;
    answer.body = FormatJson(object);
    return answer;
  }

  const Metrics* metrics_;
  const AdminSource* source_;
  std::unique_ptr<CallerFront> front_;
};

}  // namespace

std::unique_ptr<AdminServer> AdminServer::Make(const Address& listen,
                                               const Metrics* metrics,
                                               const AdminSource* source) {
  return std::make_unique<HttpAdminServer>(listen, metrics, source);
}

}  // namespace hornbeamcleat
