#include "src/serving/refusal_records.h"

#include <algorithm>
#include <utility>

#include "src/serving/loss_table.h"

namespace hornbeamcleat {
namespace {

/// Time until a record that is not read back is written again.
constexpr Duration kWriteInterval = std::chrono::seconds(2);
/// Writes at a time; the rest follows with the next decision.
constexpr std::size_t kMaxWrites = 4;
/// Interval after which twice as many VMs remove a record.
constexpr Duration kRemoverStep = std::chrono::milliseconds(500);
constexpr std::int64_t kMaxRemoverSteps = 10;

}  // namespace

std::vector<PropertyLoss> RefusalRecords::SetStored(
    const std::vector<PropertyLoss>& refusals) {
  stored_.clear();
  for (const PropertyLoss& refusal : refusals) {
    stored_[refusal.property] = refusal.trials;
  }
  if (std::exchange(has_list_, true)) {
    return {};
  }
  for (const PropertyLoss& refusal : refusals) {
    known_[refusal.property];
  }
  return refusals;
}

RefusalRecords::Changes RefusalRecords::Decide(
    const LossTable& losses, const std::function<int(std::uint64_t)>& rank,
    Time now) {
  Changes changes;
  for (PropertyLoss& refusal : losses.OwnRefused(now)) {
    Known& known = known_[refusal.property];
    const auto stored = stored_.find(refusal.property);
    const bool is_stored =
        stored != stored_.end() && stored->second >= refusal.trials;
    if (!is_stored && now >= known.next_write &&
        changes.record.size() < kMaxWrites) {
      known.next_write = now + kWriteInterval;
      // VMs that start need no more than that the property is refused.
      refusal.runs.clear();
      changes.record.push_back(std::move(refusal));
    }
  }
  for (auto it = known_.begin(); it != known_.end();) {
    auto& [property, known] = *it;
    if (losses.IsRefused(property)) {
      known.cleared_at = Time::max();
      ++it;
      continue;
    }
    known.cleared_at = std::min(known.cleared_at, now);
    if (!stored_.contains(property) && now >= known.next_write) {
      it = known_.erase(it);
      continue;
    }
    const std::int64_t steps =
        std::min((now - known.cleared_at) / kRemoverStep, kMaxRemoverSteps);
    if (stored_.contains(property) && now >= known.next_write &&
        rank(property.Code()) < (std::int64_t{1} << steps) &&
        changes.remove.size() < kMaxWrites) {
      known.next_write = now + kWriteInterval;
      changes.remove.push_back(property);
    }
    ++it;
  }
  return changes;
}

}  // namespace hornbeamcleat
