#include "src/control/entry_fact.h"

#include "src/base/codec.h"

namespace hornbeamcleat {

template <typename Archive>
void serialize(Archive& ar, EntryFact& fact) {
  ar(fact.serving, fact.load_permille, fact.closed_rank, fact.demand_milli,
     fact.config_revision, fact.api);
}

std::string EncodeEntryFact(const EntryFact& fact) { return EncodeBytes(fact); }

EntryFact DecodeEntryFact(std::string_view bytes) {
  return DecodeBytes<EntryFact>(bytes);
}

}  // namespace hornbeamcleat
