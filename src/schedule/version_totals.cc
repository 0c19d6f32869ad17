#include "src/schedule/version_totals.h"

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {

void VersionTotals::Done(const std::string& version, const Route& route) {
  ++Entry(version, route)->done;
}

void VersionTotals::Fault(const std::string& version, const Route& route) {
  ++Entry(version, route)->faults;
}

void VersionTotals::Excluded(const std::string& version, const Route& route) {
  ++Entry(version, route)->excluded;
}

void VersionTotals::FirstPart(const std::string& version, const Route& route,
                              Duration elapsed) {
  VersionEvidence* entry = Entry(version, route);
  const double seconds = ToSeconds(elapsed);
  entry->first_part_sum += seconds;
  entry->first_part_square_sum += seconds * seconds;
}

std::vector<VersionEvidence> VersionTotals::All() const {
  std::vector<VersionEvidence> all;
  all.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    all.push_back(entry);
  }
  return all;
}

VersionEvidence* VersionTotals::Entry(const std::string& version,
                                      const Route& route) {
  const auto known = entries_.find(Hash64(version, route.hash));
  if (known != entries_.end()) {
    return &known->second;
  }
  if (entries_.size() < kMaxEntries) {
    return Add(Hash64(version, route.hash), version, route);
  }
  Route shared;
  shared.model = route.model;
  shared.rank = route.rank;
  const std::uint64_t key = Hash64(version, Hash64(route.model)) +
                            static_cast<std::uint64_t>(route.rank);
  const auto rest = entries_.find(key);
  return rest == entries_.end() ? Add(key, version, shared) : &rest->second;
}

VersionEvidence* VersionTotals::Add(std::uint64_t key,
                                    const std::string& version,
                                    const Route& route) {
  VersionEvidence& entry = entries_[key];
  entry.model = route.model;
  entry.version = version;
  entry.workspace = route.workspace;
  entry.application = route.application;
  entry.tier_rank = route.rank;
  return &entry;
}

}  // namespace hornbeamcleat
