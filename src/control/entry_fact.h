#ifndef HORNBEAMCLEAT_SRC_CONTROL_ENTRY_FACT_H_
#define HORNBEAMCLEAT_SRC_CONTROL_ENTRY_FACT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Key under which a control daemon gossips its EntryFact.
inline constexpr char kEntryFactKey[] = "entry";

/// Key prefix of facts that withdraw a version: "withdrawn/MODEL/VERSION".
inline constexpr char kWithdrawnPrefix[] = "withdrawn/";

/// Key prefix of facts that carry evidence: "evidence/N".
inline constexpr char kEvidencePrefix[] = "evidence/";

/// State of a VM's entry and control daemon that is gossiped to peers.
struct EntryFact {
  bool serving = false;  ///< the entry is connected and accepts new requests
  int load_permille = 0;
  std::map<std::string, int> closed_rank;  ///< by model
  /// Offered load by model, in thousandths of a target.
  std::map<std::string, int> demand_milli;
  std::uint64_t config_revision = 0;  ///< current at this VM
  std::string api;                    ///< address of the operators' API

  bool operator==(const EntryFact&) const = default;
};

/// Serializes a fact for gossip.
std::string EncodeEntryFact(const EntryFact& fact);

/// @throws Error with step "decode"
EntryFact DecodeEntryFact(std::string_view bytes);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_ENTRY_FACT_H_
