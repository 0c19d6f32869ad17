#ifndef HORNBEAMCLEAT_SRC_SERVING_EVACUATED_DOMAINS_H_
#define HORNBEAMCLEAT_SRC_SERVING_EVACUATED_DOMAINS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Failure domains to which this VM sends nothing: those that the store shows
/// and, for a time after the start, those that peers report.
///
/// Load pattern: VMs restart while the store comes back from a copy that lacks
/// an operator's record. Only VMs that read it before know the evacuation.
///
/// All times are on the suspension-aware clock. Reports of peers are kept only
/// until kAdoptionTime after the start: one set of names per peer.
class EvacuatedDomains {
 public:
  /// Time after the start in which peers' reports count. Longer than peers keep
  /// an evacuation that the store lacks, and shorter than a peer that cannot
  /// read the store may prevent the end of one.
  static constexpr Duration kAdoptionTime = std::chrono::seconds(6);

  /// A report of this many names of the maximum length fits into a message.
  static constexpr std::size_t kMaxReported = 64;

  explicit EvacuatedDomains(Time started_at) : started_at_(started_at) {}

  /// Sets the failure domains that the store shows as evacuated.
  void SetStored(std::set<std::string> failure_domains);

  /// Sets the failure domains that the store shows to a peer.
  void SetPeer(const std::string& peer,
               const std::vector<std::string>& failure_domains, Time now);
  void ForgetPeer(const std::string& peer);

  /// Returns the failure domains that the store shows, to report to peers; at
  /// most kMaxReported.
  std::vector<std::string> Stored() const;

  /// Returns the failure domains that are sent nothing.
  std::set<std::string> Active(Time now) const;

 private:
  const Time started_at_;
  std::set<std::string> stored_;
  std::map<std::string, std::set<std::string>> by_peer_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_EVACUATED_DOMAINS_H_
