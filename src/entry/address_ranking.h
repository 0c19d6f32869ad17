#ifndef HORNBEAMCLEAT_SRC_ENTRY_ADDRESS_RANKING_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ADDRESS_RANKING_H_

#include <random>
#include <string>
#include <vector>

#include "src/link/link_message.h"

namespace hornbeamcleat {

/// Load from which an entry is only offered after all others, in permille.
inline constexpr int kFullLoadPermille = 900;

/// Order in which a caller should try the entries: those of its failure domain
/// first, full ones last. Within each group the order is drawn at random,
/// weighted by free capacity, so that callers who keep their lists spread over
/// all entries, and the callers of a lost entry over those that are left.
/// @param failure_domain where the caller is; no entry is near if it is empty
std::vector<EntryAddress> RankEntries(const std::vector<EntryAddress>& entries,
                                      const std::string& failure_domain,
                                      std::mt19937_64* random);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ADDRESS_RANKING_H_
