#include "src/agree/key_table.h"

namespace hornbeamcleat {

KeyHolder KeyTable::Find(const std::string& key) const {
  const std::unordered_map<std::string, Slot>::const_iterator it =
      keys_.find(key);
  if (it == keys_.end()) {
    return {};
  }
  return {*it->second.entry, it->second.number, it->second.id};
}

bool KeyTable::Take(const std::string& key, WallTime issued,
                    const KeyHolder& holder) {
  const auto [it, added] = keys_.try_emplace(key);
  if (!added) {
    return false;
  }
  const std::string* entry = &*entries_.insert(holder.entry).first;
  it->second = {entry, holder.number, holder.id,
                by_date_.emplace(issued, it->first)};
  if (issued <= horizon_ || keys_.size() > max_keys_) {
    RaiseHorizon(by_date_.begin()->first);
  }
  return true;
}

void KeyTable::Free(const std::string& key, const std::string& entry,
                    std::uint64_t number) {
  const std::unordered_map<std::string, Slot>::iterator it = keys_.find(key);
  if (it == keys_.end() || *it->second.entry != entry ||
      it->second.number != number) {
    return;
  }
  by_date_.erase(it->second.dated);
  keys_.erase(it);
}

void KeyTable::RaiseHorizon(WallTime horizon) {
  horizon_ = std::max(horizon_, horizon);
  while (!by_date_.empty() && by_date_.begin()->first <= horizon_) {
    const std::string key(by_date_.begin()->second);
    by_date_.erase(by_date_.begin());
    keys_.erase(key);
  }
}

}  // namespace hornbeamcleat
