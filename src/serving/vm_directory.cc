#include "src/serving/vm_directory.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// Ready VMs of a failure domain that make do without those of others.
constexpr std::size_t kEnoughInDomain = 2;
/// Addresses in one answer; callers read no more.
constexpr std::size_t kMostFronts = 64;

}  // namespace

void VmDirectory::SetMembers(const std::vector<VmRecord>& members, Time now) {
  for (auto& [link, peer] : peers_) {
    peer.is_member = false;
  }
  for (const VmRecord& member : members) {
    if (member.link == self_.link) {
      continue;
    }
    const auto [it, is_new] = peers_.try_emplace(member.link);
    if (is_new) {
      it->second.member_since = now;
    }
    it->second.record = member;
    it->second.is_member = true;
  }
  std::erase_if(peers_, [&](const auto& item) {
    return !item.second.is_member &&
           !IsHeard(item.second, options_.peer_silence, now);
  });
}

bool VmDirectory::OnState(const PeerState& state, Time now) {
  if (state.link == self_.link) {
    return false;
  }
  const auto [it, is_new] = peers_.try_emplace(state.link);
  Peer& peer = it->second;
  if (is_new) {
    peer.member_since = now;
  }
  if (peer.state.has_value() && peer.state->incarnation == state.incarnation &&
      state.sequence <= peer.state->sequence) {
    return false;
  }
  if (state.details.has_value()) {
    peer.record = {state.link, state.details->front,
                   state.details->failure_domain};
  }
  peer.state = state;
  peer.heard = now;
  peer.was_silent = false;
  return true;
}

std::vector<std::string> VmDirectory::Links() const {
  std::vector<std::string> links;
  for (const auto& [link, peer] : peers_) {
    links.push_back(link);
  }
  return links;
}

std::vector<std::string> VmDirectory::LocalDomainLinks() const {
  std::vector<std::string> links;
  for (const auto& [link, peer] : peers_) {
    if (IsNear(peer)) {
      links.push_back(link);
    }
  }
  return links;
}

std::vector<std::string> VmDirectory::RemoteDomainLinks() const {
  std::vector<std::string> links;
  for (const auto& [link, peer] : peers_) {
    if (!IsNear(peer)) {
      links.push_back(link);
    }
  }
  return links;
}

std::vector<std::string> VmDirectory::TakeTimedOut(Time now) {
  std::vector<std::string> silent;
  for (auto& [link, peer] : peers_) {
    if (!peer.was_silent && !IsHeard(peer, options_.peer_silence, now)) {
      peer.was_silent = true;
      silent.push_back(link);
    }
  }
  return silent;
}

std::vector<VmRecord> VmDirectory::ExpiredMembers(Time now) const {
  std::vector<VmRecord> gone;
  if (2 * ReachablePeers(now) < static_cast<int>(peers_.size())) {
    return gone;
  }
  for (const auto& [link, peer] : peers_) {
    const Time last = peer.state.has_value()
                          ? std::max(peer.heard, peer.member_since)
                          : peer.member_since;
    if (peer.is_member && now - last > options_.gone_silence) {
      gone.push_back(peer.record);
    }
  }
  return gone;
}

std::vector<std::string> VmDirectory::CallerAddresses(
    const std::string& failure_domain, bool self_is_ready, Time now) const {
  std::vector<std::string> near;
  std::vector<std::string> far;
  if (self_is_ready) {
    (self_.failure_domain == failure_domain ? near : far)
        .push_back(self_.front);
  }
  for (const auto& [link, peer] : peers_) {
    if (IsHeard(peer, options_.caller_silence, now) && peer.state->is_ready &&
        !peer.record.front.empty()) {
      (peer.record.failure_domain == failure_domain ? near : far)
          .push_back(peer.record.front);
    }
  }
  if (near.size() < kEnoughInDomain) {
    near.insert(near.end(), far.begin(), far.end());
  }
  if (near.size() > kMostFronts) {
    near.resize(kMostFronts);
  }
  return near;
}

bool VmDirectory::IsLeader(Time now) const {
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.first < self_.link &&
           IsHeard(item.second, options_.peer_silence, now);
  });
}

int VmDirectory::Members() const { return 1 + static_cast<int>(peers_.size()); }

int VmDirectory::ReachablePeers(Time now) const {
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
        return IsHeard(item.second, options_.peer_silence, now);
      }));
}

}  // namespace hornbeamcleat
