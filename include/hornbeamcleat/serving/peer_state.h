#ifndef HORNBEAMCLEAT_SERVING_PEER_STATE_H_
#define HORNBEAMCLEAT_SERVING_PEER_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/serving/request_property.h"
#include "hornbeamcleat/serving/target_load_report.h"
#include "hornbeamcleat/serving/target_statement.h"
#include "hornbeamcleat/serving/topic_report.h"
#include "hornbeamcleat/serving/version_move.h"

namespace hornbeamcleat {

/// Load that one VM has placed on one target.
struct TargetLoad {
  std::uint32_t target = 0;          ///< hash of the target's id
  std::uint32_t running = 0;         ///< requests in flight
  std::uint32_t pending_tokens = 0;  ///< prompt tokens awaiting a first event
  /// Remaining time in milliseconds for which the VM avoids the target after a
  /// failed connection or a connection lost before the answer.
  std::uint32_t backoff_ms = 0;
  /// Latest report of the target to the VM; only to near peers.
  std::optional<ForwardedLoadReport> report = std::nullopt;

  bool operator==(const TargetLoad&) const = default;
};

/// Performance and failure statistics of one target, as measured by one VM.
struct TargetStats {
  std::uint32_t target = 0;  ///< hash of the target's id
  float slowness = 1;  ///< latency relative to the service's typical latency
  float slowness_samples = 0;  ///< sample count behind `slowness`
  float failures = 0;          ///< exponentially decayed count
  float answers = 0;  ///< exponentially decayed count, including failures

  bool operator==(const TargetStats&) const = default;
};

/// Priority of a queued request within its service; lower values go first.
struct WaitingRank {
  std::int32_t rank = 0;
  std::int32_t route_rank = 0;  ///< breaks ties in `rank`

  std::int32_t slack_ms = 0;  ///< until a start would miss the objective

  bool operator==(const WaitingRank&) const = default;
};

/// Head of one VM's queue for one service.
struct ServiceQueue {
  std::uint32_t service = 0;  ///< hash of the service's name
  std::vector<WaitingRank> first;

  bool operator==(const ServiceQueue&) const = default;
};

/// Quota that one VM has granted since it started.
struct WorkspaceUsage {
  std::uint32_t workspace = 0;  ///< hash of the workspace's name
  double admitted = 0;          ///< in the quota's unit, requests or tokens
  float level = 0;              ///< remaining quota, as this VM computes it

  bool operator==(const WorkspaceUsage&) const = default;
};

/// One start of a target, and when something was last seen of it.
struct TargetSighting {
  std::uint32_t target = 0;  ///< hash of the incarnation
  std::uint32_t age_ms = 0;

  bool operator==(const TargetSighting&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, age_ms);
  }
};

/// Run of a request that a target was lost with.
struct LostRun {
  std::uint32_t target = 0;     ///< hash of the incarnation
  std::uint32_t age_ms = 0;     ///< of the loss
  std::uint32_t lasted_ms = 0;  ///< from the send to the loss
  std::uint16_t request = 0;    ///< tells requests on one target apart
  std::uint8_t place = 0;       ///< of a part among the parts of the prompt
  bool is_silent = false;       ///< the target fell silent instead of ending

  bool operator==(const LostRun&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, age_ms, lasted_ms, request, place, is_silent);
  }
};

/// Property of requests that targets were running when they were lost.
struct PropertyLoss {
  RequestProperty property;
  std::vector<LostRun> runs;       ///< one for each lost target
  std::uint32_t trial_age_ms = 0;  ///< of the latest loss or trial
  std::uint32_t trials = 0;        ///< that did not end in an answer

  bool operator==(const PropertyLoss&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(property, runs, trial_age_ms, trials);
  }
};

/// Property of a request that was answered completely.
struct PropertyAnswer {
  RequestProperty property;
  std::uint32_t age_ms = 0;  ///< of the answer's first event

  bool operator==(const PropertyAnswer&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(property, age_ms);
  }
};

/// What a VM knows of properties that may crash targets.
struct LossReport {
  std::vector<PropertyLoss> losses;
  std::vector<PropertyAnswer> answers;
  /// Targets that answered after a connection to them was lost; the age is that
  /// of the request.
  std::vector<TargetSighting> alive;

  bool operator==(const LossReport&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(losses, answers, alive);
  }
};

/// Slowly changing state; sent only with heartbeats, not with every change.
struct PeerDetails {
  std::string front;  ///< caller-facing address, IP:PORT
  std::string failure_domain;
  std::vector<TargetStats> findings;
  std::vector<VersionCounts> versions;  ///< of services with a move in progress

  bool operator==(const PeerDetails&) const = default;
};

/// Message that a VM broadcasts to its peers. `uses` and `queues`, if present,
/// are complete and replace those of the previous message.
struct PeerState {
  std::uint64_t incarnation = 0;  ///< random ID of the daemon process
  std::uint32_t sequence = 0;     ///< increases with each message
  std::string link;               ///< peer-facing address, IP:PORT
  bool is_ready = false;
  bool has_load = true;  ///< if false, `uses` and `queues` are absent
  std::vector<TargetLoad> uses;
  std::vector<ServiceQueue> queues;
  bool has_all_quotas = false;  ///< if false, only changed totals are sent
  std::vector<WorkspaceUsage> quotas;
  std::optional<PeerDetails> details;
  /// With each `details`, and in a message of its own after a change.
  std::optional<LossReport> losses;
  /// Statements of targets; those that the message lacks stay as they are.
  std::vector<TargetNotice> notices;
  /// Limits of targets, likewise.
  std::vector<LimitNotice> limits;
  /// Targets that are or may be cold, likewise.
  std::vector<ColdNotice> cold;
  /// Failure domains that the store shows to the VM as evacuated. With each
  /// `details`, and to a VM that has started.
  std::optional<std::vector<std::string>> evacuations;
  /// Only between VMs of one failure domain that share reads of the store.
  std::optional<SharedReadsMessage> reads;

  bool operator==(const PeerState&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_PEER_STATE_H_
