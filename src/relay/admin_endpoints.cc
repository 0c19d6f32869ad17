#include "src/relay/admin_endpoints.h"

#include <memory>
#include <optional>
#include <utility>

#include "hornbeamcleat/base/metrics.h"
#include "src/relay/http_codec.h"

namespace hornbeamcleat {
namespace {

// Handler of a request that was answered synchronously.
class CompletedRequest : public RequestHandler {
 public:
  void OnFlushed() override {}
};

}  // namespace

AdminEndpoints::AdminEndpoints(PollLoop* loop, const Clock* clock,
                               const HttpCodec* codec, Metrics* metrics,
                               const RelayOptions& options,
                               const CallerConnection::Delegate& base,
                               Sources sources)
    : codec_(codec),
      metrics_(metrics),
      directory_ttl_(options.directory_ttl),
      sources_(std::move(sources)),
      ready_listener_(loop, clock, options.ready_address,
                      options.admin_connections, ReadyDelegate(base),
                      options.socket_buffer_bytes),
      directory_listener_(loop, clock, options.directory_address,
                          options.directory_connections,
                          DirectoryDelegate(base), options.socket_buffer_bytes),
      metrics_listener_(loop, clock, options.metrics_address,
                        options.admin_connections, MetricsDelegate(base),
                        options.socket_buffer_bytes) {}

CallerConnection::Delegate AdminEndpoints::ReadyDelegate(
    CallerConnection::Delegate delegate) {
  delegate.handle = [this](const CallerRequest& request, ResponseSink* sink) {
    int status = 404;
    if (codec_->IsReadinessQuery(request.head.target)) {
      status = sources_.is_ready() ? 200 : 503;
    }
    sink->SendResponse(status, "", {}, "");
    return std::make_unique<CompletedRequest>();
  };
  return delegate;
}

CallerConnection::Delegate AdminEndpoints::DirectoryDelegate(
    CallerConnection::Delegate delegate) {
  delegate.handle = [this](const CallerRequest& request, ResponseSink* sink) {
    ServeDirectory(request, sink);
    return std::make_unique<CompletedRequest>();
  };
  return delegate;
}

void AdminEndpoints::ServeDirectory(const CallerRequest& request,
                                    ResponseSink* sink) {
  const std::optional<DirectoryQuery> query =
      codec_->ParseDirectoryQuery(request.head.target);
  if (!query.has_value()) {
    sink->SendResponse(404, "", {}, "");
    return;
  }
  const std::vector<std::string> addresses =
      sources_.caller_addresses({query->failure_domain, query->region});
  if (addresses.empty()) {
    metrics_->Count("directory_total", "outcome", "none_ready");
    sink->SendResponse(503, "", {{"Retry-After", "1"}}, "");
    return;
  }
  metrics_->Count("directory_total", "outcome", "answered");
  sink->SendResponse(
      200, "", {{"Content-Type", "application/json"}},
      codec_->FormatDirectoryResponse(addresses, directory_ttl_));
}

CallerConnection::Delegate AdminEndpoints::MetricsDelegate(
    CallerConnection::Delegate delegate) {
  delegate.handle = [this](const CallerRequest&, ResponseSink* sink) {
    sink->SendResponse(200, "", {{"Content-Type", "text/plain; version=0.0.4"}},
                       metrics_->Expose());
    return std::make_unique<CompletedRequest>();
  };
  return delegate;
}

}  // namespace hornbeamcleat
