#include "src/schedule/target_table.h"

#include <algorithm>
#include <cmath>
#include <variant>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr double kPermille = 1'000;
/// Share of the credits that is divided equally, regardless of demand.
constexpr double kEqualShare = 0.2;
/// Weight of a target without credits in the averages of its pool.
constexpr double kMinWeight = 0.1;

/// Spreads entries evenly over [0, 1) from a start that depends on the target.
double RoundingOffset(const TargetName& target, int entry_index) {
  constexpr double kGoldenRatio = 0.6180339887498949;
  constexpr std::uint64_t kBuckets = 1'000'003;
  const double start =
      static_cast<double>(Hash64(target) % kBuckets) / kBuckets;
  const double offset = start + kGoldenRatio * entry_index;
  return offset - std::floor(offset);
}

}  // namespace

std::vector<const TargetState*> TargetTable::SetView(const ClusterView& view) {
  entry_count_ = std::max(1, view.entry_count);
  entry_index_ = view.entry_index;
  demand_permille_by_model_ = view.demand_permille_by_model;
  for (const auto& [name, target] : targets_) {
    target->configured = false;
  }
  if (view.config != nullptr) {
    UpdateTargets(*view.config);
  }
  std::vector<const TargetState*> removed = RemoveUnconfigured();
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
  return removed;
}

void TargetTable::UpdateTargets(const ConfigState& config) {
  const ResourceKey first("Target", "");
  for (auto it = config.resources.lower_bound(first);
       it != config.resources.end() && it->first.first == "Target"; ++it) {
    const TargetSpec* spec = std::get_if<TargetSpec>(&it->second.spec);
    if (spec == nullptr) {
      continue;
    }
    UpdateTarget(it->first.second, *spec);
  }
}

void TargetTable::UpdateTarget(const TargetName& name, const TargetSpec& spec) {
  std::unique_ptr<TargetState>& target = targets_[name];
  SpeedEstimate* hardware_speed = HardwareSpeed(spec);
  if (target == nullptr) {
    target = std::make_unique<TargetState>(name, options_);
  }
  const bool replaced = target->hardware_speed != hardware_speed ||
                        target->spec.version != spec.version;
  if (replaced) {
    target->speed = *hardware_speed;
  }
  target->hardware_speed = hardware_speed;
  target->spec = spec;
  target->configured = true;
}

std::vector<const TargetState*> TargetTable::RemoveUnconfigured() {
  std::vector<const TargetState*> removed;
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (it->second->configured || it->second->in_flight > 0) {
      ++it;
      continue;
    }
    removed.push_back(it->second.get());
    it = targets_.erase(it);
  }
  return removed;
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
  static const Pool none;
  const auto it = by_model_.find(model);
  return it == by_model_.end() ? none : it->second;
}

PoolSummary TargetTable::Summarize(const std::string& model) const {
  PoolSummary sum;
  TargetState* fallback = nullptr;
  double gaps = 0;
  double first_parts = 0;
  double weights = 0;
  for (TargetState* target : OfModel(model)) {
    if (!target->Open()) {
      continue;
    }
    const double gap = target->speed.Gap();
    const double first_part = target->speed.FirstPart();
    const bool first = sum.targets == 0;
    const double idle_gap = std::min(gap, target->limit.MinGap());
    const double idle_first_part =
        std::min(first_part, target->limit.MinFirstPart());
    sum.idle_gap = first ? idle_gap : std::min(sum.idle_gap, idle_gap);
    sum.idle_first_part = first
                              ? idle_first_part
                              : std::min(sum.idle_first_part, idle_first_part);
    sum.best_gap = first ? gap : std::min(sum.best_gap, gap);
    sum.best_first_part =
        first ? first_part : std::min(sum.best_first_part, first_part);
    if (sum.targets % entry_count_ == entry_index_ % entry_count_ || first) {
      fallback = target;
    }
    ++sum.targets;
    sum.credits += target->credits;
    const double weight = target->credits + kMinWeight;
    gaps += weight * gap;
    first_parts += weight * first_part;
    weights += weight;
  }
  if (sum.targets > 0) {
    sum.mean_gap = gaps / weights;
    sum.mean_first_part = first_parts / weights;
  }
  if (sum.credits == 0 && fallback != nullptr) {
    fallback->credits = sum.credits = 1;
  }
  return sum;
}

TargetState* TargetTable::Find(const TargetName& name) const {
  const auto it = targets_.find(name);
  return it == targets_.end() ? nullptr : it->second.get();
}

void TargetTable::UpdateCredits(TargetState* target) const {
  const auto it = demand_permille_by_model_.find(target->spec.model);
  const double equal = 1.0 / entry_count_;
  const double demand =
      it == demand_permille_by_model_.end() ? equal : it->second / kPermille;
  // Demand measured over a short time is noisy, so part of the credits is
  // divided equally.
  const double share = kEqualShare * equal + (1 - kEqualShare) * demand;
  const double exact = target->limit.Limit() * share;
  target->credits = static_cast<int>(
      std::floor(exact + RoundingOffset(target->name, entry_index_)));
}

}  // namespace hornbeamcleat
