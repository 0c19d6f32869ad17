#ifndef HORNBEAMCLEAT_SRC_LINK_LINK_MESSAGE_H_
#define HORNBEAMCLEAT_SRC_LINK_LINK_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hornbeamcleat/agree/intents.h"
#include "hornbeamcleat/schedule/cluster_view.h"
#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {

/// Maximum size of a frame on the link between control and entry.
inline constexpr std::size_t kMaxLinkFrameBytes = 16 * 1024 * 1024;

/// Address and load of an entry that callers may use.
struct EntryAddress {
  std::string name;
  std::string url;
  std::string failure_domain;
  int load_permille = 0;

  bool operator==(const EntryAddress&) const = default;
};

/// Control to entry: the complete view and address list, sent on each change.
struct ViewMessage {
  ClusterView view;
  /// Entries that are alive and not draining, including this one.
  std::vector<EntryAddress> entries;
  bool log_available = false;

  bool operator==(const ViewMessage&) const = default;
};

/// Entry to control: requests the decision of an intent.
struct ProposeMessage {
  RequestId id;
  std::string key;

  bool operator==(const ProposeMessage&) const = default;
};

/// Control to entry: the decision of an intent.
struct DecisionMessage {
  IntentDecision decision;

  bool operator==(const DecisionMessage&) const = default;
};

/// Entry to control: the attempt won the key but definitely did not run.
struct ReleaseMessage {
  RequestId id;
  std::string key;

  bool operator==(const ReleaseMessage&) const = default;
};

/// Cumulative evidence of one incarnation of an entry, forwarded between
/// control daemons.
struct EvidenceReport {
  std::uint64_t incarnation = 0;
  std::vector<VersionEvidence> evidence;

  bool operator==(const EvidenceReport&) const = default;
};

/// Entry to control: facts and evidence, sent every second and whenever a
/// closed rank changes.
struct ReportMessage {
  std::string entry;
  std::uint64_t incarnation = 0;  ///< increases with each start of the entry
  SchedulerFacts facts;
  std::vector<VersionEvidence> evidence;
  int open = 0;
  bool draining = false;

  bool operator==(const ReportMessage&) const = default;
};

using LinkMessage = std::variant<ViewMessage, ProposeMessage, DecisionMessage,
                                 ReportMessage, ReleaseMessage>;

/// Encodes a message as a frame: 4 bytes of length, then a cereal archive.
std::string EncodeLinkFrame(const LinkMessage& message);

/// Serializes a report for gossip between control daemons.
std::string EncodeEvidence(const EvidenceReport& report);

/// @throws Error with step "decode"
EvidenceReport DecodeEvidence(std::string_view bytes);

/// Decodes the first frame in `buffer` and removes it.
/// @return false if `buffer` holds no complete frame
/// @throws Error with step "decode link" on a malformed or oversized frame
bool DecodeLinkFrame(std::string* buffer, LinkMessage* message);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LINK_LINK_MESSAGE_H_
