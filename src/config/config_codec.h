#ifndef HORNBEAMCLEAT_SRC_CONFIG_CONFIG_CODEC_H_
#define HORNBEAMCLEAT_SRC_CONFIG_CONFIG_CODEC_H_

#include "hornbeamcleat/config/config_state.h"
#include "src/base/codec.h"

/// cereal functions of the configuration types, for the link between the
/// daemons of one VM. Records in the log are JSON, which both older and newer
/// builds can read.
namespace hornbeamcleat {

template <typename Archive>
void serialize(Archive& ar, ApplicationSpec& spec) {
  ar(spec.name, spec.model, spec.idempotent);
}

template <typename Archive>
void serialize(Archive& ar, WorkspaceSpec& spec) {
  ar(spec.tier, spec.weight, spec.applications);
}

template <typename Archive>
void serialize(Archive& ar, TierSpec& spec) {
  ar(spec.rank, spec.default_deadline);
}

template <typename Archive>
void serialize(Archive& ar, TargetSpec& spec) {
  ar(spec.kind, spec.address, spec.failure_domain, spec.model, spec.version,
     spec.hardware, spec.checks_fencing);
}

template <typename Archive>
void serialize(Archive& ar, VersionSpec& spec) {
  ar(spec.model, spec.weights, spec.weight_bytes);
}

template <typename Archive>
void serialize(Archive& ar, MoveSpec& spec) {
  ar(spec.model, spec.from_version, spec.to_version, spec.deadline,
     spec.bake_time, spec.steps_permille, spec.max_fault_ratio,
     spec.max_latency_ratio);
}

template <typename Archive>
void serialize(Archive& ar, Resource& resource) {
  ar(resource.name, resource.version, resource.spec);
}

template <typename Archive>
void serialize(Archive& ar, MoveProgressRecord& record) {
  ar(record.move, record.fencing, record.share_permille, record.phase,
     record.since, record.reason);
}

template <typename Archive>
void serialize(Archive& ar, ConfigState& state) {
  ar(state.revision, state.resources, state.withdrawn, state.moves,
     state.serving);
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONFIG_CONFIG_CODEC_H_
