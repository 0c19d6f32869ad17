#ifndef HORNBEAMCLEAT_SERVING_SERVING_CONFIG_H_
#define HORNBEAMCLEAT_SERVING_SERVING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Regions whose targets requests may be sent to; nullopt: no restriction.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// Determines whether requests on a route may be retried and how they are
/// answered.
enum class RouteKind {
  kIdempotent,
  kNonIdempotent,
  kStreaming,  ///< server-sent events; retried only if resumable
};

/// Share of a route's traffic that goes to one service.
struct ServiceShare {
  std::string service;
  double weight = 1;  ///< relative to the weights of the route's other shares

  bool operator==(const ServiceShare&) const = default;
};

/// Maps a host and path prefix to services.
struct ServingRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout{0};        ///< maximum time until the request ends
  Duration objective{0};      ///< latency target for the answer or first event
  Duration max_pause{0};      ///< maximum gap between events; 0: unlimited
  int rank = 0;               ///< priority; 0 is the highest
  int max_attempts = 1;       ///< maximum number of targets per request
  bool is_public = false;     ///< no workspace key required
  bool is_resumable = false;  ///< a broken stream may resume on another target
  std::vector<ServiceShare> shares;
  AllowedRegions allowed_regions;

  /// Whether a request may be retried when its first attempt may have executed.
  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStreaming && is_resumable);
  }

  bool operator==(const ServingRoute&) const = default;
};

/// Pool of targets that routes refer to by name.
struct ServiceSpec {
  std::string name;
  int max_connections = 0;  ///< per target, over all VMs; 0: unspecified
  bool is_engine = false;   ///< inference engine that batches requests
  /// How long a target stays cold after a start.
  Duration cold_start{0};
  /// Requests per second that a cold target takes of all VMs; 0: targets of
  /// this service are never cold.
  double cold_per_second = 0;

  bool operator==(const ServiceSpec&) const = default;
};

/// Tenant, identified by its API keys.
struct ServingWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> rank;     ///< overrides the route's rank
  bool counts_tokens = false;  ///< quota unit is tokens instead of requests
  double default_tokens = 1;   ///< charged if the request has no token count
  double rate_per_second = 0;  ///< quota; 0: unlimited
  double burst = 0;            ///< token bucket capacity beyond the rate
  AllowedRegions allowed_regions;

  bool operator==(const ServingWorkspace&) const = default;
};

/// Limits on the size of requests and on how slowly callers may send them.
struct CallerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1'048'576;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);

  bool operator==(const CallerLimits&) const = default;
};

/// Complete configuration as published by the operators.
struct ServingConfig {
  std::int64_t version = 0;
  std::vector<ServingRoute> routes;
  std::vector<ServiceSpec> services;
  /// Whether routes that are not public require a workspace's key. Without any
  /// workspace, no key is valid then.
  bool requires_keys = true;
  std::vector<ServingWorkspace> workspaces;
  CallerLimits limits;

  bool operator==(const ServingConfig&) const = default;
};

/// Returns the regions that both restrictions allow.
AllowedRegions BothAllow(const AllowedRegions& a, const AllowedRegions& b);

/// One instance of a target, as registered by the target itself.
struct ServingTarget {
  std::string id;  ///< instance ID; sent with requests to detect address reuse
  std::string service;
  std::string address;  ///< IP:PORT
  std::string failure_domain;
  std::string software_version;
  int slots = 1;  ///< maximum number of concurrent requests
  bool is_draining = false;
  std::int64_t start_time_ms = 0;  ///< Unix time; tells restarts apart
  /// How long it stays cold, from the time at which the entry was read;
  /// nullopt: not stated.
  std::optional<Duration> cold_remaining;
  Time read_at;  ///< when the entry was read, on the suspension-aware clock

  /// Identifies this start of the target.
  std::string Incarnation() const {
    return id + "/" + std::to_string(start_time_ms);
  }

  bool operator==(const ServingTarget&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_SERVING_CONFIG_H_
