#include "src/schedule/target_table.h"

#include <algorithm>
#include <cmath>
#include <variant>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr double kPermille = 1'000;

/// Places entries evenly in [0, 1), starting elsewhere for each target.
double RoundingOffset(const TargetName& target, int entry_index) {
  constexpr double kGoldenRatio = 0.6180339887498949;
  constexpr std::uint64_t kBuckets = 1'000'003;
  const double start =
      static_cast<double>(Hash64(target) % kBuckets) / kBuckets;
  const double offset = start + kGoldenRatio * entry_index;
  return offset - std::floor(offset);
}

}  // namespace

void TargetTable::SetView(const ClusterView& view) {
  entry_count_ = std::max(1, view.entry_count);
  entry_index_ = view.entry_index;
  demand_permille_by_model_ = view.demand_permille_by_model;
  for (const auto& [name, target] : targets_) {
    target->configured = false;
  }
  if (view.config != nullptr) {
    TakeTargets(*view.config);
  }
  DropGone();
  for (const auto& [name, target] : targets_) {
    const std::pair<std::string, std::string> key(target->spec.model,
                                                  target->spec.version);
    target->vm_leaving = view.leaving.contains(name);
    target->withdrawn =
        view.withdrawn.contains(key) ||
        (view.config != nullptr && view.config->withdrawn.contains(key));
    UpdateCredits(target.get());
  }
  IndexByModel();
}

void TargetTable::TakeTargets(const ConfigState& config) {
  const ResourceKey first("Target", "");
  for (auto it = config.resources.lower_bound(first);
       it != config.resources.end() && it->first.first == "Target"; ++it) {
    const TargetSpec* spec = std::get_if<TargetSpec>(&it->second.spec);
    if (spec == nullptr) {
      continue;
    }
    std::unique_ptr<TargetState>& target = targets_[it->first.second];
    if (target == nullptr) {
      target = std::make_unique<TargetState>();
      target->name = it->first.second;
    }
    target->spec = *spec;
    target->configured = true;
  }
}

void TargetTable::DropGone() {
  std::erase_if(targets_, [](const auto& entry) {
    return !entry.second->configured && entry.second->in_flight == 0;
  });
}

void TargetTable::IndexByModel() {
  by_model_.clear();
  for (const auto& [name, target] : targets_) {
    if (target->configured) {
      by_model_[target->spec.model].push_back(target.get());
    }
  }
}

const TargetTable::Pool& TargetTable::OfModel(const std::string& model) const {
  static const Pool kNone;
  const auto it = by_model_.find(model);
  return it == by_model_.end() ? kNone : it->second;
}

TargetState* TargetTable::Find(const TargetName& name) const {
  const auto it = targets_.find(name);
  return it == targets_.end() ? nullptr : it->second.get();
}

void TargetTable::UpdateCredits(TargetState* target) const {
  const auto it = demand_permille_by_model_.find(target->spec.model);
  const double share = it == demand_permille_by_model_.end()
                           ? 1.0 / entry_count_
                           : it->second / kPermille;
  const double exact = target->limit * share;
  target->credits = static_cast<int>(
      std::floor(exact + RoundingOffset(target->name, entry_index_)));
}

}  // namespace hornbeamcleat
