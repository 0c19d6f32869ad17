#include "src/member/fact_table.h"

#include <algorithm>
#include <tuple>

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxFacts = 16'384;
constexpr int kChangeCounterBits = 20;

bool IsOrphan(const Fact& fact, const MemberTable& members) {
  if (!fact.expires) {
    return false;
  }
  const MemberRecord* origin = members.Find(fact.origin);
  return origin == nullptr || !MemberTable::IsUp(*origin) ||
         (fact.version >> kChangeCounterBits) < origin->member.incarnation;
}

}  // namespace

std::optional<Fact> FactTable::Set(const Member& self, const std::string& key,
                                   const std::string& value, bool expires) {
  Fact& fact = facts_[{key, self.name}];
  const std::uint64_t min_version = self.incarnation << kChangeCounterBits;
  if (fact.version > min_version && fact.value == value &&
      fact.expires == expires) {
    return std::nullopt;
  }
  fact = {self.name, key, std::max(min_version, fact.version) + 1, value,
          expires};
  ++generation_;
  return fact;
}

void FactTable::RaiseVersions(const Member& self) {
  for (auto& [key, fact] : facts_) {
    if (fact.origin == self.name) {
      fact.version =
          std::max(fact.version, self.incarnation << kChangeCounterBits) + 1;
      ++generation_;
    }
  }
}

bool FactTable::Merge(const Fact& fact, const MemberTable& members) {
  if (IsOrphan(fact, members)) {
    return false;
  }
  const Key key = {fact.key, fact.origin};
  const std::map<Key, Fact>::iterator it = facts_.find(key);
  if (it == facts_.end()) {
    if (facts_.size() >= kMaxFacts) {
      return false;
    }
  } else if (std::tie(fact.version, fact.value) <=
             std::tie(it->second.version, it->second.value)) {
    return false;
  }
  facts_[key] = fact;
  ++generation_;
  return true;
}

std::vector<Fact> FactTable::List() const {
  std::vector<Fact> out;
  out.reserve(facts_.size());
  for (const auto& [key, fact] : facts_) {
    out.push_back(fact);
  }
  return out;
}

void FactTable::DropOrphans(const MemberTable& members) {
  const std::size_t dropped =
      std::erase_if(facts_, [&members](const std::pair<const Key, Fact>& it) {
        return IsOrphan(it.second, members);
      });
  generation_ += dropped;
}

}  // namespace hornbeamcleat
