#ifndef HORNBEAMCLEAT_SRC_CONTROL_PEER_FACTS_H_
#define HORNBEAMCLEAT_SRC_CONTROL_PEER_FACTS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/member/membership.h"
#include "src/control/entry_fact.h"
#include "src/control/loss_facts.h"

namespace hornbeamcleat {

class EvidenceTable;
class Metrics;

/// Model and version.
using VersionKey = std::pair<std::string, std::string>;

/// Key of the fact that withdraws a version.
std::string WithdrawnFactKey(const VersionKey& key);

/// Decodes the facts received by gossip. Malformed ones are counted and
/// skipped.
class PeerFacts {
 public:
  /// @param evidence receives the peers' evidence
  PeerFacts(std::string self, EvidenceTable* evidence, Metrics* metrics);

  /// Replaces the decoded entries with those in `facts`. Withdrawals and
  /// evidence accumulate.
  void Read(const std::vector<Fact>& facts);

  /// Last fact of each member's entry, including this one, by member name.
  const std::map<std::string, EntryFact>& Entries() const { return entries_; }

  /// Targets that each member's entry has lost, by member name.
  const std::map<std::string, SequencedLosses>& Losses() const {
    return losses_.Losses();
  }

  /// Versions withdrawn by any member, with the reason. Entries are never
  /// removed.
  const std::map<VersionKey, std::string>& Withdrawn() const {
    return withdrawn_;
  }

 private:
  void ReadOne(const Fact& fact);

  std::string self_;
  EvidenceTable* evidence_;
  Metrics* metrics_;
  std::map<std::string, EntryFact> entries_;
  LossAssembler losses_;
  std::map<VersionKey, std::string> withdrawn_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_PEER_FACTS_H_
