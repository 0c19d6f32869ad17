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

/// States this member's facts to its peers. A fact that does not fit a datagram
/// is counted and left out.
class LocalFacts {
 public:
  /// @param membership, metrics must outlive the object
  LocalFacts(Membership* membership, Metrics* metrics);

  /// States how the entry is and what it reported last. Load and demand are
  /// told by steps, so that gossip carries only what matters.
  /// @param serving the entry takes new work
  /// @param revision configuration in force at this VM
  /// @param api address of the operators' API
  void PublishEntry(const ReportMessage& report, bool serving,
                    std::uint64_t revision, const std::string& api, Time now);

  /// States the entry's evidence on the models given.
  void PublishEvidence(const ReportMessage& report,
                       const std::set<std::string>& models, Time now);

  /// States that a version is withdrawn; it outlives this member.
  void PublishWithdrawal(const VersionKey& key, const std::string& reason,
                         Time now);

 private:
  void Publish(const std::string& key, const std::string& value, bool expires,
               Time now);

  Membership* membership_;
  Metrics* metrics_;
  Logger log_{"control"};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_LOCAL_FACTS_H_
