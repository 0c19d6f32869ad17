#include "src/entry/address_ranking.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hornbeamcleat {
namespace {

constexpr int kPermille = 1'000;

// Smaller sorts first.
using SortKey = std::tuple<bool, bool, double>;

// An exponential draw with the weight as rate: sorting by it picks without
// replacement with probabilities in proportion to the weights.
double Draw(const EntryAddress& entry, std::mt19937_64* random) {
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
    const bool far =
        failure_domain.empty() || entry.failure_domain != failure_domain;
    keyed.push_back({{full, far, Draw(entry, random)}, &entry});
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
