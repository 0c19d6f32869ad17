#include "src/serving/target_registry.h"

#include <algorithm>
#include <set>

namespace hornbeamcleat {

void TargetRegistry::Put(const ServingTarget& target) {
  registered_[target.id] = target;
  missing_.erase(target.id);
}

void TargetRegistry::Remove(const std::string& id, Time now) {
  const auto it = registered_.find(id);
  if (it == registered_.end()) {
    return;
  }
  if (!it->second.is_draining) {
    missing_[id] = MissingTarget{it->second, now + missing_grace_, false};
  }
  registered_.erase(it);
}

void TargetRegistry::Replace(const std::vector<ServingTarget>& targets,
                             Time now, Duration keep_missing) {
  std::set<std::string> listed;
  for (const ServingTarget& target : targets) {
    listed.insert(target.id);
    // A list repeats entries that were read before.
    ServingTarget entry = target;
    const auto known = registered_.find(target.id);
    if (known != registered_.end()) {
      entry.read_at = known->second.read_at;
      if (entry != known->second) {
        entry.read_at = target.read_at;
      }
    }
    Put(entry);
  }
  std::vector<std::string> missing;
  for (const auto& [id, target] : registered_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, now);
    const auto it = missing_.find(id);
    if (keep_missing > Duration(0) && it != missing_.end()) {
      it->second.expires = now + keep_missing;
      it->second.is_kept = true;
    }
  }
}

std::vector<ServingTarget> TargetRegistry::List(Time now) {
  std::erase_if(missing_,
                [&](const auto& item) { return now >= item.second.expires; });
  std::vector<ServingTarget> list;
  std::map<std::string, int> registered;
  std::map<std::string, int> missing;
  for (const auto& [id, target] : registered_) {
    list.push_back(target);
    registered[target.service] += target.is_draining ? 0 : 1;
  }
  for (const auto& [id, item] : missing_) {
    ++missing[item.spec.service];
  }
  for (const auto& [id, item] : missing_) {
    if (item.is_kept ||
        missing[item.spec.service] > registered[item.spec.service]) {
      list.push_back(item.spec);
    }
  }
  return list;
}

Time TargetRegistry::NextChange() const {
  Time next = Time::max();
  for (const auto& [id, item] : missing_) {
    next = std::min(next, item.expires);
  }
  return next;
}

}  // namespace hornbeamcleat
