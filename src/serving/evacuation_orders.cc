#include "src/serving/evacuation_orders.h"

namespace hornbeamcleat {
namespace {

/// Time from the store's restore until operators have written again what it
/// lost.
constexpr Duration kRewriteTime = std::chrono::seconds(3);

}  // namespace

const char* EvacuationCauseName(EvacuationCause cause) {
  switch (cause) {
    case EvacuationCause::kRecord:
      return "record";
    case EvacuationCause::kList:
      return "list";
    case EvacuationCause::kRestored:
      return "restored";
  }
  return "unknown";
}

void EvacuationOrders::OnRestored(Time now) { restored_at_ = now; }

bool EvacuationOrders::MayBeUnwritten(Time sent) const {
  return restored_at_.has_value() && sent - *restored_at_ < kRewriteTime;
}

std::vector<EvacuationChange> EvacuationOrders::SetListed(
    const std::set<std::string>& failure_domains, Time sent) {
  std::vector<EvacuationChange> changes;
  for (const std::string& failure_domain : failure_domains) {
    if (is_missing_.insert_or_assign(failure_domain, false).second) {
      changes.push_back({failure_domain, true, EvacuationCause::kList});
    }
  }
  for (auto it = is_missing_.begin(); it != is_missing_.end();) {
    if (failure_domains.contains(it->first)) {
      ++it;
    } else if (MayBeUnwritten(sent)) {
      it->second = true;
      ++it;
    } else {
      changes.push_back(
          {it->first, false,
           it->second ? EvacuationCause::kRestored : EvacuationCause::kList});
      it = is_missing_.erase(it);
    }
  }
  return changes;
}

std::optional<EvacuationChange> EvacuationOrders::OnRecord(
    const std::string& failure_domain, bool is_requested) {
  const bool is_change =
      is_requested ? is_missing_.insert_or_assign(failure_domain, false).second
                   : is_missing_.erase(failure_domain) > 0;
  if (!is_change) {
    return std::nullopt;
  }
  return EvacuationChange{failure_domain, is_requested,
                          EvacuationCause::kRecord};
}

std::vector<EvacuationChange> EvacuationOrders::OnCaughtUp(Time sent) {
  std::vector<EvacuationChange> changes;
  if (MayBeUnwritten(sent)) {
    return changes;
  }
  for (auto it = is_missing_.begin(); it != is_missing_.end();) {
    if (it->second) {
      changes.push_back({it->first, false, EvacuationCause::kRestored});
      it = is_missing_.erase(it);
    } else {
      ++it;
    }
  }
  return changes;
}

std::set<std::string> EvacuationOrders::Active() const {
  std::set<std::string> active;
  for (const auto& [failure_domain, is_missing] : is_missing_) {
    active.insert(failure_domain);
  }
  return active;
}

}  // namespace hornbeamcleat
