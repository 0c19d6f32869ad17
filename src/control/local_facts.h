#ifndef HORNBEAMCLEAT_SRC_CONTROL_LOCAL_FACTS_H_
#define HORNBEAMCLEAT_SRC_CONTROL_LOCAL_FACTS_H_

#include <cstdint>
#include <set>
#include <string>

#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/time.h"
#include "src/control/peer_facts.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {

class Membership;
class Metrics;

/// Publishes this member's facts by gossip. A fact that does not fit a datagram
/// is counted and dropped.
class LocalFacts {
 public:
  /// @param membership, metrics must outlive the object
  LocalFacts(Membership* membership, Metrics* metrics);

  /// Publishes the state of the entry and its last report. Load and demand are
  /// quantized, so that small changes cause no gossip.
  /// @param serving whether the entry accepts new requests
  /// @param revision revision of the current configuration of this VM
  /// @param api address of the operators' API
  void PublishEntry(const ReportMessage& report, bool serving,
                    std::uint64_t revision, const std::string& api, Time now);

  /// Publishes the targets that the entry has lost, if they changed.
  void PublishLosses(const SequencedLosses& losses, Time now);

  /// Publishes the entry's evidence for `models`.
  void PublishEvidence(const ReportMessage& report,
                       const std::set<std::string>& models, Time now);

  /// Publishes that a version is withdrawn. The fact outlives this member.
  void PublishWithdrawal(const VersionKey& key, const std::string& reason,
                         Time now);

 private:
  void Publish(const std::string& key, const std::string& value, bool expires,
               Time now);

  std::uint64_t published_losses_ = 0;  ///< sequence number
  Membership* membership_;
  Metrics* metrics_;
  Logger log_{"control"};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_LOCAL_FACTS_H_
