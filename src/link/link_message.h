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

/// Greatest frame on the link between control and entry, in bytes.
inline constexpr std::size_t kMaxLinkFrameBytes = 16 * 1024 * 1024;

/// Entry that callers may use, as the control daemon ranks them.
struct EntryAddress {
  std::string name;
  std::string url;
  std::string failure_domain;
  int load_permille = 0;

  bool operator==(const EntryAddress&) const = default;
};

/// Control to entry: the view and the address list, whole, on each change.
struct ViewMessage {
  ClusterView view;
  std::vector<EntryAddress> entries;  ///< live and not draining, this one too
  bool log_available = false;

  bool operator==(const ViewMessage&) const = default;
};

/// Entry to control: decide an intent.
struct ProposeMessage {
  RequestId id;
  std::string key;

  bool operator==(const ProposeMessage&) const = default;
};

/// Control to entry: the decision.
struct DecisionMessage {
  IntentDecision decision;

  bool operator==(const DecisionMessage&) const = default;
};

/// Entry to control: the attempt won the key but surely did not run.
struct ReleaseMessage {
  RequestId id;
  std::string key;

  bool operator==(const ReleaseMessage&) const = default;
};

/// Sums of one entry in one life, as control daemons pass them on.
struct EvidenceReport {
  std::uint64_t incarnation = 0;
  std::vector<VersionEvidence> evidence;

  bool operator==(const EvidenceReport&) const = default;
};

/// Entry to control, every second and on changed floors: facts and evidence.
struct ReportMessage {
  std::string entry;
  std::uint64_t incarnation = 0;  ///< rises with each start of the entry
  SchedulerFacts facts;
  std::vector<VersionEvidence> evidence;
  int open = 0;
  bool draining = false;

  bool operator==(const ReportMessage&) const = default;
};

using LinkMessage = std::variant<ViewMessage, ProposeMessage, DecisionMessage,
                                 ReportMessage, ReleaseMessage>;

/// Frame of a message: four bytes of length, then a cereal archive.
std::string EncodeLinkFrame(const LinkMessage& message);

/// Bytes of a report, for gossip between control daemons.
std::string EncodeEvidence(const EvidenceReport& report);

/// @throws Error with step "decode"
EvidenceReport DecodeEvidence(std::string_view bytes);

/// Takes the first whole frame off the front of `buffer`.
/// @return false if `buffer` holds no whole frame yet
/// @throws Error with step "decode link" on a malformed or oversized frame
bool DecodeLinkFrame(std::string* buffer, LinkMessage* message);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LINK_LINK_MESSAGE_H_
