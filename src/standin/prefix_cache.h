#ifndef HORNBEAMCLEAT_SRC_STANDIN_PREFIX_CACHE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamcleat {

/// Bytes of prompt text in one block.
inline constexpr std::size_t kPromptBlockBytes = 64;

/// Returns the chained hashes of the complete blocks of `prompt`, in order.
std::vector<std::uint64_t> PromptBlocks(std::string_view prompt);

/// Insertion into or eviction from a prefix cache.
struct CacheEvent {
  std::uint64_t sequence = 0;  ///< from 1
  bool stored = false;         ///< false: evicted
  std::uint64_t block = 0;

  bool operator==(const CacheEvent&) const = default;
};

/// Cache of prompt blocks with least-recently-used eviction.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the number of leading blocks in the cache and marks them as used.
  std::size_t Match(const std::vector<std::uint64_t>& blocks);

  /// Stores all of `blocks`, evicting the least recently used ones.
  void Store(const std::vector<std::uint64_t>& blocks);

  /// Returns the events since the last call.
  std::vector<CacheEvent> TakeEvents();

 private:
  void Record(bool stored, std::uint64_t block);

  std::size_t capacity_;
  std::list<std::uint64_t> order_;  ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> held_;
  std::vector<CacheEvent> events_;
  std::uint64_t sequence_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_PREFIX_CACHE_H_
