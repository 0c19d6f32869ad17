#include "src/serving/target_registry.h"

#include <algorithm>
#include <set>

namespace hornbeamcleat {

void TargetRegistry::Put(const ServingTarget& target) {
  announced_[target.id] = target;
  vanished_.erase(target.id);
}

void TargetRegistry::Remove(const std::string& id, Time now) {
  const auto it = announced_.find(id);
  if (it == announced_.end()) {
    return;
  }
  if (!it->second.is_draining) {
    vanished_[id] = Vanished{it->second, now};
  }
  announced_.erase(it);
}

void TargetRegistry::Replace(const std::vector<ServingTarget>& targets,
                             Time now) {
  std::set<std::string> listed;
  for (const ServingTarget& target : targets) {
    listed.insert(target.id);
    Put(target);
  }
  std::vector<std::string> gone;
  for (const auto& [id, target] : announced_) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    Remove(id, now);
  }
}

std::vector<ServingTarget> TargetRegistry::List(Time now) {
  std::erase_if(vanished_, [&](const auto& item) {
    return now >= item.second.at + vanished_use_;
  });
  std::vector<ServingTarget> list;
  std::map<std::string, int> certain;
  std::map<std::string, int> doubtful;
  for (const auto& [id, target] : announced_) {
    list.push_back(target);
    certain[target.service] += target.is_draining ? 0 : 1;
  }
  for (const auto& [id, item] : vanished_) {
    ++doubtful[item.spec.service];
  }
  for (const auto& [id, item] : vanished_) {
    if (doubtful[item.spec.service] > certain[item.spec.service]) {
      list.push_back(item.spec);
    }
  }
  return list;
}

Time TargetRegistry::NextChange() const {
  Time next = Time::max();
  for (const auto& [id, item] : vanished_) {
    next = std::min(next, item.at + vanished_use_);
  }
  return next;
}

}  // namespace hornbeamcleat
