#include "src/schedule/prefix_index.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// Maximum number of blocks learned from one prompt.
constexpr std::size_t kMaxLearnedBlocks = 64;
/// Number of events without a gap after which a target's blocks count in full.
constexpr int kEventsToRegainTrust = 256;

}  // namespace

std::size_t PrefixIndex::Match::Blocks(const TargetState* target) const {
  for (const auto& [holder, depth] : depths) {
    if (holder == target) {
      return depth;
    }
  }
  return 0;
}

PrefixIndex::Match PrefixIndex::Find(
    const std::vector<std::uint64_t>& blocks) const {
  Match match;
  // A stored block implies the blocks before it, so the deepest holder is found
  // by binary search; holders of shorter prefixes are found at the probes on
  // the way.
  std::size_t low = 0;
  std::size_t high = blocks.size();
  while (low < high) {
    const std::size_t middle = low + (high - low) / 2;
    const auto it = blocks_.find(blocks[middle]);
    if (it == blocks_.end()) {
      high = middle;
      continue;
    }
    for (const TargetState* holder : it->second.holders) {
      const auto stream = streams_.find(holder);
      const bool unsure =
          stream != streams_.end() && stream->second.events_until_trusted > 0;
      const std::size_t depth = unsure ? (middle + 1) / 2 : middle + 1;
      const auto known = std::find_if(
          match.depths.begin(), match.depths.end(),
          [&](const auto& entry) { return entry.first == holder; });
      if (known == match.depths.end()) {
        match.depths.emplace_back(holder, depth);
      } else {
        known->second = std::max(known->second, depth);
      }
    }
    low = middle + 1;
  }
  return match;
}

void PrefixIndex::OnDispatch(const TargetState* target,
                             const std::vector<std::uint64_t>& blocks) {
  const std::size_t n = std::min(blocks.size(), kMaxLearnedBlocks);
  for (std::size_t i = n; i > 0; --i) {
    Store(target, blocks[i - 1]);
  }
}

void PrefixIndex::OnEvents(const TargetState* target,
                           const std::vector<CacheEvent>& events) {
  Stream& stream = streams_[target];
  for (const CacheEvent& event : events) {
    if (stream.started && event.sequence < stream.next_sequence) {
      continue;
    }
    const bool gap = stream.started && event.sequence > stream.next_sequence;
    stream.events_until_trusted =
        gap ? kEventsToRegainTrust
            : std::max(0, stream.events_until_trusted - 1);
    stream.started = true;
    stream.next_sequence = event.sequence + 1;
    if (event.stored) {
      Store(target, event.block);
    } else {
      Evict(target, event.block);
    }
  }
}

void PrefixIndex::RemoveTarget(const TargetState* target) {
  streams_.erase(target);
  for (auto it = blocks_.begin(); it != blocks_.end();) {
    std::erase(it->second.holders, target);
    if (it->second.holders.empty()) {
      recency_.erase(it->second.recency);
      it = blocks_.erase(it);
    } else {
      ++it;
    }
  }
}

void PrefixIndex::Store(const TargetState* target, std::uint64_t hash) {
  const auto [it, is_new] = blocks_.try_emplace(hash);
  Block& block = it->second;
  if (is_new) {
    block.recency = recency_.insert(recency_.begin(), hash);
  } else {
    recency_.splice(recency_.begin(), recency_, block.recency);
  }
  if (!block.holders.empty() && block.holders.front() == target) {
    return;
  }
  std::erase(block.holders, target);
  block.holders.insert(block.holders.begin(), target);
  if (block.holders.size() > kMaxHolders) {
    block.holders.pop_back();
  }
  if (blocks_.size() > kMaxBlocks) {
    blocks_.erase(recency_.back());
    recency_.pop_back();
  }
}

void PrefixIndex::Evict(const TargetState* target, std::uint64_t hash) {
  const auto it = blocks_.find(hash);
  if (it == blocks_.end()) {
    return;
  }
  std::erase(it->second.holders, target);
  if (it->second.holders.empty()) {
    recency_.erase(it->second.recency);
    blocks_.erase(it);
  }
}

}  // namespace hornbeamcleat
