#include "src/schedule/version_totals.h"

namespace hornbeamcleat {

void VersionTotals::Done(const std::string& version, const Route& route) {
  ++Entry(version, route)->done;
}

void VersionTotals::Fault(const std::string& version, const Route& route) {
  ++Entry(version, route)->faults;
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
  Key key(route.model, version, route.workspace, route.application, route.rank);
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    if (entries_.size() >= kMaxEntries) {
      key = Key(route.model, version, "", "", route.rank);
    }
    it = entries_.try_emplace(key).first;
    const auto& [model, name, workspace, application, rank] = it->first;
    it->second.model = model;
    it->second.version = name;
    it->second.workspace = workspace;
    it->second.application = application;
    it->second.tier_rank = rank;
  }
  return &it->second;
}

}  // namespace hornbeamcleat
