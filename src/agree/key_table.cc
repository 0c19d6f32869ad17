#include "src/agree/key_table.h"

namespace hornbeamcleat {

KeyHolder KeyTable::Find(const std::string& key) const {
  const std::unordered_map<std::string, KeyRecord>::const_iterator it =
      keys_.find(key);
  if (it == keys_.end()) {
    return {};
  }
  return {*it->second.entry, it->second.number, it->second.id};
}

bool KeyTable::Claim(const std::string& key, WallTime issued,
                     const KeyHolder& holder) {
  const auto [it, added] = keys_.try_emplace(key);
  if (!added) {
    return false;
  }
  const std::string* entry = &*entry_names_.insert(holder.entry).first;
  it->second = {entry, holder.number, holder.id,
                by_issue_time_.emplace(issued, it->first)};
  if (issued <= evicted_through_ || keys_.size() > max_keys_) {
    EvictThrough(by_issue_time_.begin()->first);
  }
  return true;
}

void KeyTable::Release(const std::string& key, const std::string& entry,
                       std::uint64_t number) {
  const std::unordered_map<std::string, KeyRecord>::iterator it =
      keys_.find(key);
  if (it == keys_.end() || *it->second.entry != entry ||
      it->second.number != number) {
    return;
  }
  by_issue_time_.erase(it->second.by_issue_time);
  keys_.erase(it);
}

void KeyTable::EvictThrough(WallTime time) {
  evicted_through_ = std::max(evicted_through_, time);
  while (!by_issue_time_.empty() &&
         by_issue_time_.begin()->first <= evicted_through_) {
    const std::string key(by_issue_time_.begin()->second);
    by_issue_time_.erase(by_issue_time_.begin());
    keys_.erase(key);
  }
}

}  // namespace hornbeamcleat
