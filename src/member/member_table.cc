#include "src/member/member_table.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kRelaysPerDomain = 2;
constexpr std::size_t kMaxMembers = 4'096;

// A member's announcement that it left takes precedence over its peers'
// reports.
int StatePrecedence(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kDead:
      return 2;
    case MemberState::kLeft:
      return 3;
  }
  return 0;
}

}  // namespace

MemberTable::MemberTable(const Member& self, const MembershipOptions& options)
    : self_(self.name),
      suspect_time_(options.suspect_time),
      forget_time_(options.forget_time) {
  records_[self_] = {self, 0};
}

bool MemberTable::IsUp(const MemberRecord& record) {
  return record.member.state == MemberState::kAlive ||
         record.member.state == MemberState::kSuspect;
}

const MemberRecord* MemberTable::Find(const std::string& name) const {
  const std::map<std::string, MemberRecord>::const_iterator it =
      records_.find(name);
  return it == records_.end() ? nullptr : &it->second;
}

const MemberRecord* MemberTable::FindDead(const Address& address) const {
  for (const auto& [name, record] : records_) {
    if (record.member.address == address &&
        record.member.state == MemberState::kDead) {
      return &record;
    }
  }
  return nullptr;
}

std::vector<Member> MemberTable::List() const {
  std::vector<Member> out;
  out.reserve(records_.size());
  for (const auto& [name, record] : records_) {
    out.push_back(record.member);
  }
  return out;
}

bool MemberTable::Supersedes(const MemberRecord& a,
                             const MemberRecord& b) const {
  return std::make_tuple(a.member.incarnation, a.refutations,
                         StatePrecedence(a.member.state)) >
         std::make_tuple(b.member.incarnation, b.refutations,
                         StatePrecedence(b.member.state));
}

void MemberTable::Store(const MemberRecord& record, Time now) {
  const std::string& name = record.member.name;
  records_[name] = record;
  if (record.member.state == MemberState::kAlive) {
    state_changed_.erase(name);
  } else {
    state_changed_[name] = now;
  }
  ++generation_;
}

MemberTable::MergeResult MemberTable::MergeSelf(const MemberRecord& record) {
  MemberRecord& self = records_[self_];
  if (self.member.state == MemberState::kLeft || !Supersedes(record, self)) {
    return MergeResult::kNothing;
  }
  // A greater incarnation means that the clock was set back before a restart.
  if (record.member.incarnation > self.member.incarnation) {
    self.member.incarnation = record.member.incarnation + 1;
    self.refutations = 0;
  } else {
    self.refutations = record.refutations + 1;
  }
  ++generation_;
  return MergeResult::kRefuted;
}

MemberTable::MergeResult MemberTable::Merge(const MemberRecord& record,
                                            Time now) {
  if (record.member.name == self_) {
    return MergeSelf(record);
  }
  const MemberRecord* known = Find(record.member.name);
  if (known == nullptr && (!IsUp(record) || records_.size() >= kMaxMembers)) {
    return MergeResult::kNothing;
  }
  if (known != nullptr && !Supersedes(record, *known)) {
    return MergeResult::kNothing;
  }
  Store(record, now);
  return MergeResult::kChanged;
}

bool MemberTable::Suspect(const std::string& name, Time now) {
  const MemberRecord* known = Find(name);
  if (known == nullptr || name == self_ ||
      known->member.state != MemberState::kAlive) {
    return false;
  }
  MemberRecord record = *known;
  record.member.state = MemberState::kSuspect;
  Store(record, now);
  return true;
}

std::vector<std::string> MemberTable::Tick(Time now) {
  std::vector<std::string> out;
  const std::map<std::string, Time> changed = state_changed_;
  for (const auto& [name, since] : changed) {
    MemberRecord record = records_.at(name);
    const bool suspect = record.member.state == MemberState::kSuspect;
    if (suspect && now - since >= suspect_time_) {
      record.member.state = MemberState::kDead;
      Store(record, now);
      out.push_back(name);
    } else if (!suspect && now - since >= forget_time_) {
      records_.erase(name);
      state_changed_.erase(name);
      ++generation_;
      out.push_back(name);
    }
  }
  return out;
}

void MemberTable::ShiftDeadlines(Duration pause) {
  for (auto& [name, since] : state_changed_) {
    since += pause;
  }
}

void MemberTable::MarkSelfLeft() {
  records_[self_].member.state = MemberState::kLeft;
  ++generation_;
}

std::vector<std::string> MemberTable::Peers(const std::string& domain) const {
  std::vector<std::string> out;
  for (const auto& [name, record] : records_) {
    if (name != self_ && IsUp(record) &&
        record.member.failure_domain == domain) {
      out.push_back(name);
    }
  }
  return out;
}

std::vector<std::string> MemberTable::Relays(const std::string& domain) const {
  std::vector<std::string> out = Peers(domain);
  const MemberRecord& self = Self();
  if (IsUp(self) && self.member.failure_domain == domain) {
    out.push_back(self_);
  }
  std::sort(
      out.begin(), out.end(), [](const std::string& a, const std::string& b) {
        return std::make_pair(Hash64(a), a) < std::make_pair(Hash64(b), b);
      });
  out.resize(std::min(out.size(), kRelaysPerDomain));
  return out;
}

bool MemberTable::IsRelay() const {
  const std::vector<std::string> relays = Relays(Self().member.failure_domain);
  return std::find(relays.begin(), relays.end(), self_) != relays.end();
}

std::vector<std::string> MemberTable::OtherDomains() const {
  std::set<std::string> out;
  for (const auto& [name, record] : records_) {
    if (IsUp(record)) {
      out.insert(record.member.failure_domain);
    }
  }
  out.erase(Self().member.failure_domain);
  return {out.begin(), out.end()};
}

}  // namespace hornbeamcleat
