#include "src/member/probe_schedule.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr std::size_t kIndirectProbers = 2;
constexpr std::size_t kBroadcastFanout = 2;
constexpr int kAnyMemberInterval = 4;  // one probe in 4 goes to any member

}  // namespace

ProbeSchedule::ProbeSchedule(const MembershipOptions& options,
                             const MemberTable* members)
    : seeds_(options.seeds), members_(members), random_(options.seed) {}

const std::string& ProbeSchedule::OwnDomain() const {
  return members_->Self().member.failure_domain;
}

std::vector<std::string> ProbeSchedule::Sample(std::vector<std::string> from,
                                               std::size_t n) {
  std::shuffle(from.begin(), from.end(), random_);
  from.resize(std::min(n, from.size()));
  return from;
}

std::string ProbeSchedule::NextInDomain() {
  if (probe_round_.empty()) {
    const std::vector<std::string> peers = members_->Peers(OwnDomain());
    probe_round_ = Sample(peers, peers.size());
  }
  while (!probe_round_.empty()) {
    std::string name = probe_round_.back();
    probe_round_.pop_back();
    const MemberRecord* record = members_->Find(name);
    if (record != nullptr && MemberTable::IsUp(*record)) {
      return name;
    }
  }
  return "";
}

std::string ProbeSchedule::NextInOtherDomain() {
  if (domain_round_.empty()) {
    const std::vector<std::string> all = members_->OtherDomains();
    domain_round_ = Sample(all, all.size());
  }
  if (domain_round_.empty()) {
    return "";
  }
  const std::string domain = domain_round_.back();
  domain_round_.pop_back();
  const bool any = random_() % kAnyMemberInterval == 0;
  const std::vector<std::string> found =
      Sample(any ? members_->Peers(domain) : members_->Relays(domain), 1);
  return found.empty() ? "" : found.front();
}

std::vector<std::string> ProbeSchedule::IndirectProbers(const Member& peer) {
  std::vector<std::string> probers = members_->Peers(peer.failure_domain);
  std::erase(probers, peer.name);
  return Sample(probers, kIndirectProbers);
}

std::vector<std::string> ProbeSchedule::BroadcastReceivers() {
  std::vector<std::string> out =
      Sample(members_->Peers(OwnDomain()), kBroadcastFanout);
  if (!members_->IsRelay() && !out.empty()) {
    out.front() = Sample(members_->Relays(OwnDomain()), 1).front();
  }
  return out;
}

std::optional<Address> ProbeSchedule::NextJoinAddress() {
  std::vector<Address> up;
  std::vector<Address> candidates = seeds_;
  candidates.insert(candidates.end(), address_hints_.begin(),
                    address_hints_.end());
  for (const auto& [name, record] : members_->Records()) {
    if (MemberTable::IsUp(record)) {
      up.push_back(record.member.address);
    } else if (record.member.state == MemberState::kDead) {
      candidates.push_back(record.member.address);
    }
  }
  std::erase_if(candidates, [&up](const Address& it) {
    return std::find(up.begin(), up.end(), it) != up.end();
  });
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random_() % candidates.size()];
}

}  // namespace hornbeamcleat
