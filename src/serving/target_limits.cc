#include "src/serving/target_limits.h"

namespace hornbeamcleat {

bool TargetLimits::OnStated(const TargetInstance& target, double per_second,
                            Time now) {
  const auto it = states_.find(target.id);
  const bool is_news = it == states_.end() ||
                       it->second.start_time_ms != target.start_time_ms ||
                       it->second.stated.per_second != per_second;
  states_[target.id] = {target.start_time_ms, {per_second, now}};
  return is_news;
}

std::optional<TargetLimits::Stated> TargetLimits::Find(
    const TargetInstance& target) const {
  const auto it = states_.find(target.id);
  if (it == states_.end() || it->second.start_time_ms != target.start_time_ms) {
    return std::nullopt;
  }
  return it->second.stated;
}

}  // namespace hornbeamcleat
