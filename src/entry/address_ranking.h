#ifndef HORNBEAMCLEAT_SRC_ENTRY_ADDRESS_RANKING_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ADDRESS_RANKING_H_

#include <random>
#include <string>
#include <vector>

#include "src/link/link_message.h"

namespace hornbeamcleat {

/// Load, in permille, at which an entry is full and is listed after all others.
inline constexpr int kFullLoadPermille = 900;

/// Returns the entries in the order in which a caller should try them: those in
/// its failure domain first, full ones last. The order within each group is
/// random, weighted by free capacity. This spreads callers that cache the list
/// over all entries, and the callers of a failed entry over the remaining ones.
/// @param failure_domain of the caller; if empty, no entry counts as local
std::vector<EntryAddress> RankEntries(const std::vector<EntryAddress>& entries,
                                      const std::string& failure_domain,
                                      std::mt19937_64* random);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ADDRESS_RANKING_H_
