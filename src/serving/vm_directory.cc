#include "src/serving/vm_directory.h"

#include <algorithm>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Minimum ready VMs in a failure domain for which no VMs of other domains are
/// added.
constexpr std::size_t kMinLocalAddresses = 2;
/// Several, since some may just have ended or started.
constexpr int kReportersToStartedVm = 4;
/// Maximum addresses per answer; callers read no more.
constexpr std::size_t kMaxAddresses = 64;

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
      local_peers_ += IsLocalDomain(it->second) ? 1 : 0;
    }
    SetRecord(member, &it->second);
    it->second.is_member = true;
  }
  std::erase_if(peers_, [&](const auto& item) {
    const bool is_gone = !item.second.is_member &&
                         !IsReachable(item.second, options_.peer_timeout, now);
    local_peers_ -= is_gone && IsLocalDomain(item.second) ? 1 : 0;
    return is_gone;
  });
}

void VmDirectory::SetRecord(const VmRecord& record, Peer* peer) {
  local_peers_ -= IsLocalDomain(*peer) ? 1 : 0;
  peer->record = record;
  local_peers_ += IsLocalDomain(*peer) ? 1 : 0;
}

bool VmDirectory::OnState(const PeerState& state, Time now) {
  if (state.link == self_.link) {
    return false;
  }
  const auto [it, is_new] = peers_.try_emplace(state.link);
  Peer& peer = it->second;
  if (is_new) {
    peer.member_since = now;
    local_peers_ += IsLocalDomain(peer) ? 1 : 0;
  }
  if (peer.heard.has_value() && peer.heard->incarnation == state.incarnation &&
      state.sequence <= peer.heard->sequence) {
    return false;
  }
  if (state.details.has_value()) {
    SetRecord({state.link, state.details->front, state.details->failure_domain},
              &peer);
  }
  const bool is_same =
      peer.heard.has_value() && peer.heard->incarnation == state.incarnation;
  peer.heard = {state.incarnation,
                state.sequence,
                state.is_ready,
                now,
                is_same ? peer.heard->incarnation_since : now,
                suspended_time_};
  peer.is_timed_out = false;
  return true;
}

bool VmDirectory::IsNewIncarnation(const PeerState& state) const {
  const auto it = peers_.find(state.link);
  return it == peers_.end() || !it->second.heard.has_value() ||
         it->second.heard->incarnation != state.incarnation;
}

bool VmDirectory::IsReturning(const PeerState& state) const {
  const auto it = peers_.find(state.link);
  return it != peers_.end() && it->second.is_timed_out;
}

bool VmDirectory::IsReporterTo(const std::string& link, Duration min_uptime,
                               Time now) const {
  const std::uint64_t own = Hash64(self_.link, Hash64(link, 0));
  const auto before =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
        return item.first != link &&
               IsReachable(item.second, options_.peer_timeout, now) &&
               now - item.second.heard->incarnation_since >= min_uptime &&
               Hash64(item.first, Hash64(link, 0)) < own;
      });
  return before < kReportersToStartedVm;
}

int VmDirectory::RankFor(std::uint64_t key, Time now) const {
  const std::uint64_t own = Hash64(self_.link, key);
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
        return IsReachable(item.second, options_.peer_timeout, now) &&
               Hash64(item.first, key) < own;
      }));
}

VmShare VmDirectory::ShareOf(std::uint64_t key,
                             const std::string& failure_domain,
                             bool takes_requests, Time now) const {
  const bool is_scoped =
      !failure_domain.empty() &&
      (self_.failure_domain == failure_domain ||
       std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
         return item.second.record.failure_domain == failure_domain;
       }));
  const auto takes_part = [&](const VmRecord& vm) {
    return !is_scoped || vm.failure_domain == failure_domain;
  };
  const std::uint64_t own = Hash64(self_.link, key);
  VmShare share;
  share.takes_part = takes_requests && takes_part(self_);
  share.heard = share.takes_part ? 1 : 0;
  share.registered = takes_part(self_) ? 1 : 0;
  for (const auto& [link, peer] : peers_) {
    const bool is_before = Hash64(link, key) < own;
    ++share.overall;
    share.overall_rank += is_before ? 1 : 0;
    if (!takes_part(peer.record)) {
      continue;
    }
    ++share.registered;
    if (IsReachable(peer, options_.peer_timeout, now) && peer.heard->is_ready) {
      ++share.heard;
      share.rank += is_before ? 1 : 0;
    }
  }
  return share;
}

VmOrder VmDirectory::OrderFor(std::uint64_t key, bool takes_part,
                              Time now) const {
  const std::uint64_t own = Hash64(self_.link, key);
  VmOrder order;
  order.takes_part = takes_part;
  for (const auto& [link, peer] : peers_) {
    ++order.vms;
    if (Hash64(link, key) < own) {
      ++order.position;
      order.has_silent_before =
          order.has_silent_before ||
          !IsReachable(peer, options_.peer_timeout, now) ||
          !peer.heard->is_ready;
    }
  }
  return order;
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
    if (IsLocalDomain(peer)) {
      links.push_back(link);
    }
  }
  return links;
}

std::vector<VmDirectory::HeardPeer> VmDirectory::HeardLocalPeers(
    Time now) const {
  std::vector<HeardPeer> heard;
  for (const auto& [link, peer] : peers_) {
    if (IsLocalDomain(peer) && IsReachable(peer, options_.peer_timeout, now)) {
      heard.push_back({link, peer.heard->is_ready});
    }
  }
  return heard;
}

std::vector<std::string> VmDirectory::RemoteDomainLinks() const {
  std::vector<std::string> links;
  for (const auto& [link, peer] : peers_) {
    if (!IsLocalDomain(peer)) {
      links.push_back(link);
    }
  }
  return links;
}

std::vector<std::string> VmDirectory::TakeTimedOut(Time now) {
  std::vector<std::string> timed_out;
  for (auto& [link, peer] : peers_) {
    if (!peer.is_timed_out && !IsReachable(peer, options_.peer_timeout, now)) {
      peer.is_timed_out = true;
      timed_out.push_back(link);
    }
  }
  return timed_out;
}

std::vector<VmRecord> VmDirectory::ExpiredMembers(Time now) const {
  std::vector<VmRecord> expired;
  if (2 * ReachablePeers(now) < static_cast<int>(peers_.size())) {
    return expired;
  }
  for (const auto& [link, peer] : peers_) {
    const Time last = peer.heard.has_value()
                          ? std::max(peer.heard->at, peer.member_since)
                          : peer.member_since;
    if (peer.is_member && now - last > options_.removal_timeout) {
      expired.push_back(peer.record);
    }
  }
  return expired;
}

bool VmDirectory::IsListed(const Peer& peer, Time now) const {
  if (!peer.heard.has_value() || !peer.heard->is_ready ||
      peer.record.front.empty()) {
    return false;
  }
  const Duration suspended = suspended_time_ - peer.heard->suspended_before;
  return IsReachable(peer, options_.caller_timeout, now + suspended) &&
         now + suspended - peer.heard->at < max_listed_silence_;
}

bool VmDirectory::IsInRegion(const VmRecord& vm,
                             const std::string& region) const {
  const auto it = regions_.find(vm.failure_domain);
  return it != regions_.end() && it->second == region;
}

std::vector<std::string> VmDirectory::CallerAddresses(const CallerPlace& caller,
                                                      bool self_is_ready,
                                                      Time now) const {
  std::vector<const VmRecord*> listed;
  if (self_is_ready) {
    listed.push_back(&self_);
  }
  for (const auto& [link, peer] : peers_) {
    if (IsListed(peer, now)) {
      listed.push_back(&peer.record);
    }
  }
  const auto is_in_region = [&](const VmRecord* vm) {
    return IsInRegion(*vm, caller.region);
  };
  if (!caller.region.empty() &&
      std::any_of(listed.begin(), listed.end(), is_in_region)) {
    std::erase_if(listed,
                  [&](const VmRecord* vm) { return !is_in_region(vm); });
  }
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const VmRecord* vm : listed) {
    (vm->failure_domain == caller.failure_domain ? local : remote)
        .push_back(vm->front);
  }
  if (local.size() < kMinLocalAddresses) {
    local.insert(local.end(), remote.begin(), remote.end());
  }
  if (local.size() > kMaxAddresses) {
    local.resize(kMaxAddresses);
  }
  return local;
}

bool VmDirectory::IsLeader(Time now) const {
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.first < self_.link &&
           IsReachable(item.second, options_.peer_timeout, now);
  });
}

int VmDirectory::Members() const { return 1 + static_cast<int>(peers_.size()); }

int VmDirectory::ReachablePeers(Time now) const {
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
        return IsReachable(item.second, options_.peer_timeout, now);
      }));
}

}  // namespace hornbeamcleat
