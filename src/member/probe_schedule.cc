#include "src/member/probe_schedule.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr std::size_t kHelpers = 2;
constexpr std::size_t kReceivers = 2;
constexpr int kRelayShare = 4;  // one probe in so many goes to any member

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
  if (round_.empty()) {
    const std::vector<std::string> peers = members_->Peers(OwnDomain());
    round_ = Sample(peers, peers.size());
  }
  while (!round_.empty()) {
    std::string name = round_.back();
    round_.pop_back();
    const MemberRecord* record = members_->Find(name);
    if (record != nullptr && MemberTable::IsUp(*record)) {
      return name;
    }
  }
  return "";
}

std::string ProbeSchedule::NextInOtherDomain() {
  if (domains_.empty()) {
    const std::vector<std::string> all = members_->OtherDomains();
    domains_ = Sample(all, all.size());
  }
  if (domains_.empty()) {
    return "";
  }
  const std::string domain = domains_.back();
  domains_.pop_back();
  const bool any = random_() % kRelayShare == 0;
  const std::vector<std::string> found =
      Sample(any ? members_->Peers(domain) : members_->Relays(domain), 1);
  return found.empty() ? "" : found.front();
}

std::vector<std::string> ProbeSchedule::Helpers(const Member& target) {
  std::vector<std::string> helpers = members_->Peers(target.failure_domain);
  std::erase(helpers, target.name);
  return Sample(helpers, kHelpers);
}

std::vector<std::string> ProbeSchedule::NewsReceivers() {
  std::vector<std::string> out =
      Sample(members_->Peers(OwnDomain()), kReceivers);
  if (!members_->IsRelay() && !out.empty()) {
    out.front() = Sample(members_->Relays(OwnDomain()), 1).front();
  }
  return out;
}

std::optional<Address> ProbeSchedule::NextToReach() {
  std::vector<Address> up;
  std::vector<Address> wanted = seeds_;
  wanted.insert(wanted.end(), hints_.begin(), hints_.end());
  for (const auto& [name, record] : members_->Records()) {
    if (MemberTable::IsUp(record)) {
      up.push_back(record.member.address);
    } else if (record.member.state == MemberState::kDead) {
      wanted.push_back(record.member.address);
    }
  }
  std::erase_if(wanted, [&up](const Address& it) {
    return std::find(up.begin(), up.end(), it) != up.end();
  });
  if (wanted.empty()) {
    return std::nullopt;
  }
  return wanted[random_() % wanted.size()];
}

}  // namespace hornbeamcleat
