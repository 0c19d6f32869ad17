#ifndef HORNBEAMCLEAT_SERVING_SERVING_CONFIG_H_
#define HORNBEAMCLEAT_SERVING_SERVING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// What may be repeated on a route and what its answers look like.
enum class RouteKind {
  kIdempotent,
  kNonIdempotent,
  kStreaming,  ///< server-sent events; not idempotent unless resumable
};

/// Part of a route's traffic that goes to one service.
struct ServiceShare {
  std::string service;
  double weight = 1;  ///< relative to the route's other shares

  bool operator==(const ServiceShare&) const = default;
};

/// Route from a host and a path prefix to services.
struct ServingRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout{0};        ///< longest time a caller is kept
  Duration objective{0};      ///< answer or first event is on time until then
  Duration max_pause{0};      ///< longest pause between events; 0: not bounded
  int rank = 0;               ///< 0 is served first
  int max_attempts = 1;       ///< targets that one request may run on
  bool is_public = false;     ///< no workspace key is needed
  bool is_resumable = false;  ///< a broken stream may go on at another target
  std::vector<ServiceShare> shares;

  /// Whether a request may run a second time after it may have run once.
  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStreaming && is_resumable);
  }

  bool operator==(const ServingRoute&) const = default;
};

/// Pool of targets that routes name.
struct ServiceSpec {
  std::string name;
  int max_connections = 0;  ///< of one target, from all VMs; 0: not stated
  bool is_engine = false;   ///< generates tokens in batches

  bool operator==(const ServiceSpec&) const = default;
};

/// Owner of requests, known by its keys.
struct ServingWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> rank;     ///< replaces the route's rank
  bool counts_tokens = false;  ///< the quota counts tokens, not requests
  double default_tokens = 1;   ///< of a request that states no tokens
  double rate_per_second = 0;  ///< quota; 0: no limit
  double burst = 0;            ///< admitted at once beyond the rate

  bool operator==(const ServingWorkspace&) const = default;
};

/// What a caller may send, and how slowly.
struct CallerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1'048'576;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);

  bool operator==(const CallerLimits&) const = default;
};

/// Newest configuration of the operators, whole.
struct ServingConfig {
  std::int64_t version = 0;
  std::vector<ServingRoute> routes;
  std::vector<ServiceSpec> services;
  std::vector<ServingWorkspace> workspaces;
  CallerLimits limits;

  bool operator==(const ServingConfig&) const = default;
};

/// One incarnation of a target, as it announces itself.
struct ServingTarget {
  std::string id;  ///< names the incarnation; sent along to detect reuse
  std::string service;
  std::string address;  ///< IP:PORT
  std::string failure_domain;
  std::string software_version;
  int slots = 1;  ///< requests that it runs at once
  bool is_draining = false;
  std::int64_t start_time_ms = 0;  ///< start, Unix time; tells a reborn target

  bool operator==(const ServingTarget&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_SERVING_CONFIG_H_
