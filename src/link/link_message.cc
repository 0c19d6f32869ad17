#include "src/link/link_message.h"

#include <cstring>

#include "src/config/config_codec.h"

namespace hornbeamcleat {

template <typename Archive>
void serialize(Archive& ar, VersionShare& share) {
  ar(share.model, share.from_version, share.to_version, share.share_permille,
     share.max_in_flight, share.max_targets);
}

// ClusterView shares an immutable configuration, so load creates a new one.
template <typename Archive>
void save(Archive& ar, const ClusterView& view) {
  const bool known = view.config != nullptr;
  ar(known);
  if (known) {
    ar(*view.config);
  }
  ar(view.shares, view.withdrawn, view.leaving, view.entry_count,
     view.entry_index, view.demand_permille_by_model, view.peer_closed_rank,
     view.peer_losses);
}

template <typename Archive>
void load(Archive& ar, ClusterView& view) {
  bool known = false;
  ar(known);
  if (known) {
    const std::shared_ptr<ConfigState> config = std::make_shared<ConfigState>();
    ar(*config);
    view.config = config;
  }
  ar(view.shares, view.withdrawn, view.leaving, view.entry_count,
     view.entry_index, view.demand_permille_by_model, view.peer_closed_rank,
     view.peer_losses);
}

template <typename Archive>
void serialize(Archive& ar, EntryAddress& entry) {
  ar(entry.name, entry.url, entry.failure_domain, entry.load_permille);
}

template <typename Archive>
void serialize(Archive& ar, SchedulerFacts& facts) {
  ar(facts.closed_rank, facts.demand, facts.losses, facts.queued,
     facts.in_flight);
}

template <typename Archive>
void serialize(Archive& ar, VersionEvidence& evidence) {
  ar(evidence.model, evidence.version, evidence.workspace, evidence.application,
     evidence.tier_rank, evidence.length_class, evidence.load_level,
     evidence.done, evidence.faults, evidence.crashes, evidence.excluded,
     evidence.first_part_sum, evidence.first_part_square_sum,
     evidence.first_part_log_sum, evidence.first_part_log_square_sum,
     evidence.gaps, evidence.gap_log_sum, evidence.gap_log_square_sum);
}

template <typename Archive>
void serialize(Archive& ar, IntentDecision& decision) {
  ar(decision.id, decision.result, decision.winner, decision.winner_entry);
}

template <typename Archive>
void serialize(Archive& ar, ViewMessage& message) {
  ar(message.view, message.entries, message.log_available);
}

template <typename Archive>
void serialize(Archive& ar, ProposeMessage& message) {
  ar(message.id, message.key);
}

template <typename Archive>
void serialize(Archive& ar, DecisionMessage& message) {
  ar(message.decision);
}

template <typename Archive>
void serialize(Archive& ar, ReportMessage& message) {
  ar(message.entry, message.incarnation, message.facts, message.evidence,
     message.open, message.draining);
}

template <typename Archive>
void serialize(Archive& ar, ReleaseMessage& message) {
  ar(message.id, message.key);
}

template <typename Archive>
void serialize(Archive& ar, EvidenceReport& report) {
  ar(report.incarnation, report.evidence);
}

std::string EncodeLinkFrame(const LinkMessage& message) {
  const std::string body = EncodeBytes(message);
  const std::uint32_t n = static_cast<std::uint32_t>(body.size());
  std::string frame(sizeof(n), '\0');
  std::memcpy(frame.data(), &n, sizeof(n));
  frame += body;
  return frame;
}

std::string EncodeEvidence(const EvidenceReport& report) {
  return EncodeBytes(report);
}

EvidenceReport DecodeEvidence(std::string_view bytes) {
  return DecodeBytes<EvidenceReport>(bytes);
}

bool DecodeLinkFrame(std::string* buffer, LinkMessage* message) {
  std::uint32_t n = 0;
  if (buffer->size() < sizeof(n)) {
    return false;
  }
  std::memcpy(&n, buffer->data(), sizeof(n));
  if (n > kMaxLinkFrameBytes) {
    throw Error("decode link", "", "frame exceeds the size limit");
  }
  if (buffer->size() < sizeof(n) + n) {
    return false;
  }
  try {
    *message = DecodeBytes<LinkMessage>({buffer->data() + sizeof(n), n});
  } catch (const Error& e) {
    throw Error("decode link", "", e.what());
  }
  buffer->erase(0, sizeof(n) + n);
  return true;
}

}  // namespace hornbeamcleat
