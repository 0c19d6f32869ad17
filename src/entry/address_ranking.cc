#include "src/entry/address_ranking.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hornbeamcleat {
namespace {

constexpr int kPermille = 1'000;

// Full, remote, random key; sorted in ascending order.
using SortKey = std::tuple<bool, bool, double>;

// Draws an exponential variate whose rate is the free capacity. Sorting by it
// is weighted sampling without replacement.
double DrawSortKey(const EntryAddress& entry, std::mt19937_64* random) {
  const int free = std::max(1, kPermille - entry.load_permille);
  return std::exponential_distribution<double>(free)(*random);
}

}  // namespace

std::vector<EntryAddress> RankEntries(const std::vector<EntryAddress>& entries,
                                      const std::string& failure_domain,
                                      std::mt19937_64* random) {
  std::vector<std::pair<SortKey, const EntryAddress*>> keyed;
  keyed.reserve(entries.size());
  for (const EntryAddress& entry : entries) {
    const bool full = entry.load_permille >= kFullLoadPermille;
    const bool remote =
        failure_domain.empty() || entry.failure_domain != failure_domain;
    keyed.push_back({{full, remote, DrawSortKey(entry, random)}, &entry});
  }
  std::sort(keyed.begin(), keyed.end());
  std::vector<EntryAddress> out;
  out.reserve(keyed.size());
  for (const auto& [key, entry] : keyed) {
    out.push_back(*entry);
  }
  return out;
}

}  // namespace hornbeamcleat
