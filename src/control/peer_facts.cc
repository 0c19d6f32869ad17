#include "src/control/peer_facts.h"

#include <fmt/format.h>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/move/evidence_table.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {
namespace {

// Model names contain no slash.
bool ParseWithdrawnKey(const std::string& key, VersionKey* out) {
  const std::size_t prefix = std::string_view(kWithdrawnPrefix).size();
  const std::size_t slash = key.find('/', prefix);
  if (!key.starts_with(kWithdrawnPrefix) || slash == std::string::npos) {
    return false;
  }
  *out = {key.substr(prefix, slash - prefix), key.substr(slash + 1)};
  return true;
}

}  // namespace

std::string WithdrawnFactKey(const VersionKey& key) {
  return fmt::format("{}{}/{}", kWithdrawnPrefix, key.first, key.second);
}

PeerFacts::PeerFacts(std::string self, EvidenceTable* evidence,
                     Metrics* metrics)
    : self_(std::move(self)), evidence_(evidence), metrics_(metrics) {}

void PeerFacts::Read(const std::vector<Fact>& facts) {
  entries_.clear();
  losses_ = LossAssembler();
  for (const Fact& fact : facts) {
    try {
      ReadOne(fact);
    } catch (const Error& e) {
      metrics_->Count("facts_refused_total", "cause", "decode");
      Logger("control").Warning(
          "Failed to decode a fact. peer={} key={} cause={}", fact.origin,
          fact.key, e.what());
    }
  }
}

void PeerFacts::ReadOne(const Fact& fact) {
  VersionKey key;
  if (fact.key == kEntryFactKey) {
    entries_[fact.origin] = DecodeEntryFact(fact.value);
  } else if (ParseWithdrawnKey(fact.key, &key)) {
    withdrawn_.emplace(key, fact.value);
  } else if (fact.key.starts_with(kLossesPrefix)) {
    losses_.Add(fact.origin, fact.value);
  } else if (fact.key.starts_with(kEvidencePrefix) && fact.origin != self_) {
    const EvidenceReport report = DecodeEvidence(fact.value);
    evidence_->Report(fact.origin, report.incarnation, report.evidence);
  }
}

}  // namespace hornbeamcleat
