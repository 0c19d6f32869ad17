#ifndef HORNBEAMCLEAT_CONFIG_RESOURCE_H_
#define HORNBEAMCLEAT_CONFIG_RESOURCE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Application of a workspace: a route used by its callers.
struct ApplicationSpec {
  std::string name;
  std::string model;       ///< model or plain service that serves it
  bool idempotent = true;  ///< e.g. false for payments and bookings

  bool operator==(const ApplicationSpec&) const = default;
};

/// Workspace: a tenant with its tier, weight and applications.
struct WorkspaceSpec {
  std::string tier;
  double weight = 1;  ///< share among workspaces of one tier, > 0
  std::vector<ApplicationSpec> applications;

  bool operator==(const WorkspaceSpec&) const = default;
};

/// Tier: priority class. A lower rank has a higher value and is shed last.
struct TierSpec {
  int rank = 0;
  Duration default_deadline = std::chrono::seconds(60);

  bool operator==(const TierSpec&) const = default;
};

/// Kind of a target.
enum class TargetKind { kEngine, kService };

/// Target: one replica of an engine or plain service.
struct TargetSpec {
  TargetKind kind = TargetKind::kEngine;
  std::string address;  ///< IP:PORT
  std::string failure_domain;
  std::string model;
  std::string version;
  std::string hardware;         ///< hardware generation
  bool checks_fencing = false;  ///< rejects orders with an old token

  bool operator==(const TargetSpec&) const = default;
};

/// Version of a model or service that targets may run.
struct VersionSpec {
  std::string model;
  std::string weights;  ///< name in the weight store; empty for services
  std::int64_t weight_bytes = 0;

  bool operator==(const VersionSpec&) const = default;
};

/// Planned move of a model's traffic from one version to another.
struct MoveSpec {
  std::string model;
  std::string from_version;
  std::string to_version;
  WallTime deadline;
  Duration bake_time = std::chrono::minutes(2);
  /// Traffic shares in permille, increasing to 1000; empty means automatic.
  std::vector<int> steps_permille;
  /// Maximum fault ratio of the new version above that of the old one.
  double max_fault_ratio = 0.01;
  /// Maximum ratio of the first-part times of the new and old versions.
  double max_latency_ratio = 1.25;

  bool operator==(const MoveSpec&) const = default;
};

/// Spec of a resource; the alternative determines its kind.
using ResourceSpec =
    std::variant<WorkspaceSpec, TierSpec, TargetSpec, VersionSpec, MoveSpec>;

/// Declared object of a kind, with a name unique within the kind.
struct Resource {
  std::string name;
  std::uint64_t version = 0;  ///< log offset of its last change; 0 when new
  ResourceSpec spec;

  bool operator==(const Resource&) const = default;
};

/// Returns "Workspace", "Tier", "Target", "Version" or "Move".
const char* KindName(const ResourceSpec& spec);

/// Whether `kind` is one of the names that KindName returns.
bool IsKnownKind(const std::string& kind);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_CONFIG_RESOURCE_H_
