#include "src/relay/admin_pages.h"

#include <memory>
#include <optional>
#include <utility>

#include "hornbeamcleat/base/metrics.h"
#include "src/relay/http_codec.h"

namespace hornbeamcleat {
namespace {

/// Connections for readiness checks and for metrics, each.
constexpr int kAdminConnections = 64;

// Handler of a request that was answered at once.
class NoWork : public RequestHandler {
 public:
  void OnFlushed() override {}
};

}  // namespace

AdminPages::AdminPages(PollLoop* loop, const Clock* clock,
                       const HttpCodec* dialect, Metrics* metrics,
                       const RelayOptions& options,
                       const CallerConnection::Delegate& base, Sources sources)
    : dialect_(dialect),
      metrics_(metrics),
      directory_keep_(options.directory_keep),
      sources_(std::move(sources)),
      ready_(loop, clock, options.ready, kAdminConnections, ReadyOwner(base)),
      directory_(loop, clock, options.directory, options.max_connections,
                 DirectoryOwner(base)),
      metrics_page_(loop, clock, options.metrics, kAdminConnections,
                    MetricsOwner(base)) {}

CallerConnection::Delegate AdminPages::ReadyOwner(
    CallerConnection::Delegate owner) {
  owner.handle = [this](const CallerRequest& request, ResponseSink* sink) {
    int status = 404;
    if (dialect_->IsReadinessQuery(request.head.target)) {
      status = sources_.is_ready() ? 200 : 503;
    }
    sink->SendResponse(status, "", {}, "");
    return std::make_unique<NoWork>();
  };
  return owner;
}

CallerConnection::Delegate AdminPages::DirectoryOwner(
    CallerConnection::Delegate owner) {
  owner.handle = [this](const CallerRequest& request, ResponseSink* sink) {
    AnswerDirectory(request, sink);
    return std::make_unique<NoWork>();
  };
  return owner;
}

void AdminPages::AnswerDirectory(const CallerRequest& request,
                                 ResponseSink* sink) {
  const std::optional<DirectoryQuery> query =
      dialect_->ParseDirectoryQuery(request.head.target);
  if (!query.has_value()) {
    sink->SendResponse(404, "", {}, "");
    return;
  }
  const std::vector<std::string> fronts =
      sources_.fronts(query->failure_domain);
  if (fronts.empty()) {
    metrics_->Count("directory_total", "outcome", "none_ready");
    sink->SendResponse(503, "", {{"Retry-After", "1"}}, "");
    return;
  }
  metrics_->Count("directory_total", "outcome", "answered");
  sink->SendResponse(
      200, "", {{"Content-Type", "application/json"}},
      dialect_->FormatDirectoryResponse(fronts, directory_keep_));
}

CallerConnection::Delegate AdminPages::MetricsOwner(
    CallerConnection::Delegate owner) {
  owner.handle = [this](const CallerRequest&, ResponseSink* sink) {
    sink->SendResponse(200, "", {{"Content-Type", "text/plain; version=0.0.4"}},
                       metrics_->Expose());
    return std::make_unique<NoWork>();
  };
  return owner;
}

}  // namespace hornbeamcleat
