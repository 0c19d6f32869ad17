#include "src/schedule/poison_table.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// Crashes of one target within this time count once.
constexpr Duration kLossMergeWindow = std::chrono::seconds(5);

}  // namespace

void PoisonTable::OnTargetLost(std::uint64_t fingerprint,
                               const TargetName& target, Time now) {
  if (entries_.size() >= kMaxEntries && !entries_.contains(fingerprint)) {
    DropOldest();
  }
  Entry& entry = entries_[fingerprint];
  const auto [it, is_new] = entry.last_by_target.try_emplace(target, now);
  if (is_new || now >= it->second + kLossMergeWindow) {
    ++entry.losses;
  }
  it->second = now;
  entry.last = now;
}

void PoisonTable::OnServed(std::uint64_t fingerprint, Time now) {
  if (entries_.erase(fingerprint) > 0 || peers_.contains(fingerprint)) {
    served_[fingerprint] = now;
  }
}

int PoisonTable::Lost(std::uint64_t fingerprint, Time now) const {
  if (served_.contains(fingerprint)) {
    return 0;
  }
  int lost = 0;
  const auto own = entries_.find(fingerprint);
  if (own != entries_.end() && IsLive(own->second, now)) {
    lost += own->second.losses;
  }
  const auto peers = peers_.find(fingerprint);
  return peers == peers_.end() ? lost : lost + peers->second;
}

void PoisonTable::Expire(Time now) {
  std::erase_if(entries_,
                [&](const auto& item) { return !IsLive(item.second, now); });
  std::erase_if(served_,
                [&](const auto& item) { return now >= item.second + expiry_; });
}

std::map<std::uint64_t, int> PoisonTable::Own(Time now) const {
  std::map<std::uint64_t, int> own;
  for (const auto& [fingerprint, entry] : entries_) {
    if (IsLive(entry, now)) {
      own[fingerprint] = entry.losses;
    }
  }
  return own;
}

void PoisonTable::DropOldest() {
  const auto it = std::min_element(entries_.begin(), entries_.end(),
                                   [](const auto& a, const auto& b) {
                                     return a.second.last < b.second.last;
                                   });
  entries_.erase(it);
}

}  // namespace hornbeamcleat
