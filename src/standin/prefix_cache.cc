#include "src/standin/prefix_cache.h"

#include <utility>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {

std::vector<std::uint64_t> PromptBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> out;
  std::uint64_t previous = 0;
  for (std::size_t at = 0; at + kPromptBlockBytes <= prompt.size();
       at += kPromptBlockBytes) {
    previous = Hash64(prompt.substr(at, kPromptBlockBytes), previous);
    out.push_back(previous);
  }
  return out;
}

std::size_t PrefixCache::Match(const std::vector<std::uint64_t>& blocks) {
  std::size_t n = 0;
  while (n < blocks.size()) {
    const auto it = held_.find(blocks[n]);
    if (it == held_.end()) {
      break;
    }
    order_.splice(order_.begin(), order_, it->second);
    ++n;
  }
  return n;
}

void PrefixCache::Store(const std::vector<std::uint64_t>& blocks) {
  for (std::uint64_t block : blocks) {
    const auto it = held_.find(block);
    if (it != held_.end()) {
      order_.splice(order_.begin(), order_, it->second);
      continue;
    }
    order_.push_front(block);
    held_[block] = order_.begin();
    Record(true, block);
  }
  while (held_.size() > capacity_) {
    const std::uint64_t block = order_.back();
    order_.pop_back();
    held_.erase(block);
    Record(false, block);
  }
}

std::vector<CacheEvent> PrefixCache::TakeEvents() {
  return std::exchange(events_, {});
}

void PrefixCache::Record(bool stored, std::uint64_t block) {
  events_.push_back({++sequence_, stored, block});
}

}  // namespace hornbeamcleat
