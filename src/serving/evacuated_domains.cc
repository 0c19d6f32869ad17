#include "src/serving/evacuated_domains.h"

#include <utility>

namespace hornbeamcleat {

void EvacuatedDomains::SetStored(std::set<std::string> failure_domains) {
  stored_ = std::move(failure_domains);
}

void EvacuatedDomains::SetPeer(const std::string& peer,
                               const std::vector<std::string>& failure_domains,
                               Time now) {
  if (now - started_at_ >= kAdoptionTime) {
    by_peer_.clear();
    return;
  }
  by_peer_[peer] = {failure_domains.begin(), failure_domains.end()};
}

void EvacuatedDomains::ForgetPeer(const std::string& peer) {
  by_peer_.erase(peer);
}

std::vector<std::string> EvacuatedDomains::Stored() const {
  std::vector<std::string> reported;
  for (const std::string& failure_domain : stored_) {
    if (reported.size() == kMaxReported) {
      break;
    }
    reported.push_back(failure_domain);
  }
  return reported;
}

std::set<std::string> EvacuatedDomains::Active(Time now) const {
  std::set<std::string> active = stored_;
  if (now - started_at_ < kAdoptionTime) {
    for (const auto& [peer, failure_domains] : by_peer_) {
      active.insert(failure_domains.begin(), failure_domains.end());
    }
  }
  return active;
}

}  // namespace hornbeamcleat
