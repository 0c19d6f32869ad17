#ifndef HORNBEAMCLEAT_SERVING_PEER_STATE_H_
#define HORNBEAMCLEAT_SERVING_PEER_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/serving/version_move.h"

namespace hornbeamcleat {

/// Work of one VM at one target.
struct TargetLoad {
  std::uint32_t target = 0;          ///< hash of the target's id
  std::uint32_t running = 0;         ///< requests sent and not ended
  std::uint32_t pending_tokens = 0;  ///< of prompts without a first event
  /// How much longer the VM leaves the target alone, since it could not be
  /// reached or broke off before an answer; milliseconds.
  std::uint32_t backoff_ms = 0;

  bool operator==(const TargetLoad&) const = default;
};

/// What one VM has learned of one target.
struct TargetStats {
  std::uint32_t target = 0;  ///< hash of the target's id
  float slowness = 1;        ///< time for work, relative to the service's usual
  float slowness_samples = 0;  ///< weight of `slowness`
  float failures = 0;          ///< recent, decaying
  float answers = 0;           ///< recent, decaying; failures included

  bool operator==(const TargetStats&) const = default;
};

/// Place of a waiting request in the order of its service; less goes first.
struct WaitingRank {
  std::int32_t rank = 0;
  std::int32_t route_rank = 0;  ///< among equals by `rank`

  std::int32_t slack_ms = 0;  ///< until a start would miss the objective

  bool operator==(const WaitingRank&) const = default;
};

/// First requests that wait at one VM for one service.
struct ServiceQueue {
  std::uint32_t service = 0;  ///< hash of the service's name
  std::vector<WaitingRank> first;

  bool operator==(const ServiceQueue&) const = default;
};

/// Quota that one VM has given out since it started.
struct WorkspaceUsage {
  std::uint32_t workspace = 0;  ///< hash of the name
  double admitted = 0;          ///< requests or tokens, as the quota counts
  float level = 0;              ///< left of the quota, as this VM counts it

  bool operator==(const WorkspaceUsage&) const = default;
};

/// Content that was running when targets were lost.
struct ContentLoss {
  std::uint64_t fingerprint = 0;
  std::uint32_t losses = 0;

  bool operator==(const ContentLoss&) const = default;
};

/// What changes slowly; sent with every heartbeat only.
struct PeerDetails {
  std::string front;  ///< address for callers, IP:PORT
  std::string failure_domain;
  std::vector<TargetStats> findings;
  std::vector<ContentLoss> losses;
  std::vector<VersionCounts> versions;  ///< of services whose traffic moves

  bool operator==(const PeerDetails&) const = default;
};

/// Message of a VM to its peers. Work and queues, if told, are whole and
/// replace those of the message before.
struct PeerState {
  std::uint64_t incarnation = 0;  ///< of the daemon; random
  std::uint32_t sequence = 0;     ///< rises with each message
  std::string link;               ///< address for peers, IP:PORT
  bool is_ready = false;
  bool has_load = true;  ///< else `uses` and `queues` say nothing
  std::vector<TargetLoad> uses;
  std::vector<ServiceQueue> queues;
  bool has_all_quotas = false;  ///< else only totals that changed
  std::vector<WorkspaceUsage> quotas;
  std::optional<PeerDetails> details;

  bool operator==(const PeerState&) const = default;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_PEER_STATE_H_
